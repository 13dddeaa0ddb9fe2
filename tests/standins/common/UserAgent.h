#pragma once

#include <grpcpp/server_context.h>

#include <string>
#include <vector>

namespace mustardshift::standin {

/** Returns the caller's user agent, or an empty string. */
std::string UserAgentOf(const grpc::CallbackServerContext& aContext);

/** Returns true when the text starts with one of the prefixes. */
bool StartsWithAny(const std::string& aText, const std::vector<std::string>& aPrefixes);

} // namespace mustardshift::standin

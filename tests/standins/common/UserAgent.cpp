#include "standins/common/UserAgent.h"

#include <algorithm>

namespace mustardshift::standin {

std::string UserAgentOf(const grpc::CallbackServerContext& aContext)
{
  const auto found = aContext.client_metadata().find("user-agent");
  return found == aContext.client_metadata().end()
           ? std::string()
           : std::string(found->second.data(), found->second.size());
}

bool StartsWithAny(const std::string& aText, const std::vector<std::string>& aPrefixes)
{
  return std::any_of(aPrefixes.begin(), aPrefixes.end(), [&](const std::string& aPrefix) {
    return aText.starts_with(aPrefix);
  });
}

} // namespace mustardshift::standin

#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Asks a VM for rate tokens of an organisation. */
struct TokenRequest
{
  VmId sender;
  /** Start of the asking process in microseconds of its boot clock, and a count; together they tell
      requests apart. */
  std::uint64_t incarnation = 0;
  std::uint64_t requestNumber = 0;
  OrganisationName organisation;
  std::uint32_t wanted = 0;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

/** Answers a TokenRequest. The tokens have left the sender's bucket. */
struct TokenGrant
{
  VmId sender;
  /** Those of the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t requestNumber = 0;
  std::uint32_t count = 0;

  friend bool operator==(const TokenGrant&, const TokenGrant&) = default;
};

using TokenMessage = std::variant<TokenRequest, TokenGrant>;

/** Writes a message as CBOR. Thread safety: pure. */
std::string EncodeTokenMessage(const TokenMessage& aMessage);

/** Reads what EncodeTokenMessage() wrote; nothing when the bytes are malformed.
    Thread safety: pure. */
std::optional<TokenMessage> DecodeTokenMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

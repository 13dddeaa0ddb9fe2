#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Requests rate tokens of an organisation from another VM. */
struct TokenRequest
{
  VmId sender;
  /** Address for the reply, "IP:port". */
  std::string replyAddress;
  /** Start of the requesting process in microseconds of the VM's boot clock. Together with
      requestNumber it identifies a request. */
  std::uint64_t incarnation = 0;
  std::uint64_t requestNumber = 0;
  OrganisationName organisation;
  std::uint32_t wantedCount = 0;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

/** Reply to a TokenRequest. The tokens have already been removed from the sender's bucket. */
struct TokenGrant
{
  VmId sender;
  /** Incarnation and number of the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t requestNumber = 0;
  std::uint32_t count = 0;

  friend bool operator==(const TokenGrant&, const TokenGrant&) = default;
};

using TokenMessage = std::variant<TokenRequest, TokenGrant>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodeTokenMessage(const TokenMessage& aMessage);

/** Decodes the output of EncodeTokenMessage(). Returns nothing if the bytes are malformed. Thread
    safety: pure. */
std::optional<TokenMessage> DecodeTokenMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

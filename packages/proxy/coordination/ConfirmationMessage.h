#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Asks a VM how current its copy of the operators' table is. */
struct ConfirmationRequest
{
  VmId sender;
  /** Of the asking process, and a count; together they tell requests apart. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  friend bool operator==(const ConfirmationRequest&, const ConfirmationRequest&) = default;
};

/** Answers a ConfirmationRequest. */
struct ConfirmationAnswer
{
  /** Those of the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** Tells copies of the table apart. */
  std::uint64_t digest = 0;
  /** Time from the instant as of which the copy was confirmed to the answer. */
  Duration age{ 0 };

  friend bool operator==(const ConfirmationAnswer&, const ConfirmationAnswer&) = default;
};

using ConfirmationMessage = std::variant<ConfirmationRequest, ConfirmationAnswer>;

/** Writes a message as CBOR. Thread safety: pure. */
std::string EncodeConfirmationMessage(const ConfirmationMessage& aMessage);

/** Reads what EncodeConfirmationMessage() wrote; nothing when the bytes are malformed or another
   kind of message. Thread safety: pure. */
std::optional<ConfirmationMessage> DecodeConfirmationMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

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
struct ConfigurationConfirmationRequest
{
  VmId sender;
  /** Of the asking process, and a count; together they tell requests apart. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  friend bool operator==(const ConfigurationConfirmationRequest&,
                         const ConfigurationConfirmationRequest&) = default;
};

/** Answers a ConfigurationConfirmationRequest. */
struct ConfigurationConfirmationAnswer
{
  /** Those of the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** Tells copies of the table apart. */
  std::uint64_t digest = 0;
  /** Time from the instant as of which the copy was confirmed to the answer. */
  Duration age{ 0 };

  friend bool operator==(const ConfigurationConfirmationAnswer&,
                         const ConfigurationConfirmationAnswer&) = default;
};

using ConfigurationConfirmationMessage =
  std::variant<ConfigurationConfirmationRequest, ConfigurationConfirmationAnswer>;

/** Writes a message as CBOR. Thread safety: pure. */
std::string EncodeConfigurationConfirmationMessage(
  const ConfigurationConfirmationMessage& aMessage);

/** Reads what EncodeConfigurationConfirmationMessage() wrote; nothing when the bytes are malformed
   or another kind of message. Thread safety: pure. */
std::optional<ConfigurationConfirmationMessage> DecodeConfigurationConfirmationMessage(
  std::string_view aBytes);

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Asks a VM for the age and the digest of its copy of the operators' table. */
struct ConfigurationConfirmationRequest
{
  VmId sender;
  /** Incarnation of the sending process and number of the request within that process; together
      they identify a request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  friend bool operator==(const ConfigurationConfirmationRequest&,
                         const ConfigurationConfirmationRequest&) = default;
};

/** Answers a ConfigurationConfirmationRequest. */
struct ConfigurationConfirmationAnswer
{
  /** Incarnation and number of the request that is answered. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** OperatorTableDigest of the sender's copy; differs between different copies. */
  std::uint64_t digest = 0;
  /** Time elapsed since the sender's copy was last known to be current, measured when the answer is
      sent. */
  Duration age{ 0 };

  friend bool operator==(const ConfigurationConfirmationAnswer&,
                         const ConfigurationConfirmationAnswer&) = default;
};

using ConfigurationConfirmationMessage =
  std::variant<ConfigurationConfirmationRequest, ConfigurationConfirmationAnswer>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodeConfigurationConfirmationMessage(
  const ConfigurationConfirmationMessage& aMessage);

/** Decodes what EncodeConfigurationConfirmationMessage() produced. Returns nothing if the bytes are
    malformed or hold a different kind of message. Thread safety: pure. */
std::optional<ConfigurationConfirmationMessage> DecodeConfigurationConfirmationMessage(
  std::string_view aBytes);

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/session/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Asks a VM for the latest known log position of a group's primary. */
struct PositionRequest
{
  VmId sender;
  /** Incarnation of the sending process and number of the request within that process; together
      they identify a request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  DatabaseName group;

  friend bool operator==(const PositionRequest&, const PositionRequest&) = default;
};

/** Answers a PositionRequest. */
struct PositionAnswer
{
  /** Incarnation and number of the request that is answered. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  LogPosition position;
  /** Age of the position when the answer is sent. */
  Duration age{ 0 };

  friend bool operator==(const PositionAnswer&, const PositionAnswer&) = default;
};

using PositionMessage = std::variant<PositionRequest, PositionAnswer>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodePositionMessage(const PositionMessage& aMessage);

/** Decodes what EncodePositionMessage() produced. Returns nothing if the bytes are malformed or
    hold a different kind of message. Thread safety: pure. */
std::optional<PositionMessage> DecodePositionMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

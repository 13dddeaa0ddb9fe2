#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/session/LogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mustardshift::proxy {

/** Asks another VM for the positions of the primaries of some groups. */
struct PositionRequest
{
  VmId sender;
  /** Address for the answer, "IP:port". */
  std::string replyAddress;
  /** Identify the request in the answer. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  std::vector<DatabaseName> groups;

  friend bool operator==(const PositionRequest&, const PositionRequest&) = default;
};

/** Position that a group's primary confirmed. */
struct GroupPosition
{
  DatabaseName group;
  LogPosition position;
  /** Time since just before the sender asked the primary. */
  Duration age{ 0 };

  friend bool operator==(const GroupPosition&, const GroupPosition&) = default;
};

struct PositionAnswer
{
  /** Copied from the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** Positions of the requested groups that the sender knows. */
  std::vector<GroupPosition> positions;

  friend bool operator==(const PositionAnswer&, const PositionAnswer&) = default;
};

using PositionMessage = std::variant<PositionRequest, PositionAnswer>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodePositionMessage(const PositionMessage& aMessage);

/** Decodes what EncodePositionMessage() produced. Returns nothing if the bytes are malformed or
    hold a different kind of message. Thread safety: pure. */
std::optional<PositionMessage> DecodePositionMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

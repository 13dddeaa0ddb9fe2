#pragma once

#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Asks another VM to demote a primary that the sender may be unable to reach. */
struct DemotionRequest
{
  /** Address for the answer, "IP:port". */
  std::string replyAddress;
  /** Identify the request in the answer. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  DatabaseName group;
  ServerId primary;
  /** The server is demoted if its term is below this one. */
  std::uint64_t term = 0;
  /** Whether the receiver passes the request on to the VMs that are attached to it. */
  bool isForwarded = false;
  /** Whether the server is a candidate whose order is superseded: it is sent no statements even if
      it becomes the primary. */
  bool isCandidate = false;

  friend bool operator==(const DemotionRequest&, const DemotionRequest&) = default;
};

struct DemotionAnswer
{
  /** Copied from the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  VmId sender;
  /** Whether the server has answered that it is no primary. */
  bool isDemoted = false;

  friend bool operator==(const DemotionAnswer&, const DemotionAnswer&) = default;
};

using DemotionMessage = std::variant<DemotionRequest, DemotionAnswer>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodeDemotionMessage(const DemotionMessage& aMessage);

/** Decodes what EncodeDemotionMessage() produced. Returns nothing if the bytes are malformed or
    hold a different kind of message. Thread safety: pure. */
std::optional<DemotionMessage> DecodeDemotionMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

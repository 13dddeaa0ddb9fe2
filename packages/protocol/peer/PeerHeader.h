#pragma once

#include "core/base/Names.h"

#include <cstdint>

namespace mustardshift {

/** Fields that every peer message has: its sender, its number and the message that it answers. */
struct PeerHeader
{
  VmId sender;
  /** Increases with each start of the sender's process. */
  std::uint64_t incarnation = 0;
  /** Number of the message, unique within one incarnation of the sender. Never zero. */
  std::uint64_t messageId = 0;
  /** The messageId of the message that this one answers, or zero when it is not an answer. */
  std::uint64_t answersMessageId = 0;

  friend bool operator==(const PeerHeader&, const PeerHeader&) = default;
};

} // namespace mustardshift

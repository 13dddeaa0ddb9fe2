#pragma once

#include "core/base/Names.h"

#include <cstdint>

namespace mustardshift {

/** What every peer message says about its sender. */
struct PeerHeader
{
  VmId sender;
  /** Grows with each start of the sender's process. */
  std::uint64_t incarnation = 0;
  /** Number of the message, unique within one incarnation of the sender. Never zero. */
  std::uint64_t messageId = 0;
  /** The messageId that this message answers, or zero. */
  std::uint64_t answersMessageId = 0;

  friend bool operator==(const PeerHeader&, const PeerHeader&) = default;
};

} // namespace mustardshift

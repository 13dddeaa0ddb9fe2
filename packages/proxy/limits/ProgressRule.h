#pragma once

#include "core/base/Instant.h"

#include <cstddef>

namespace mustardshift::proxy {

/** How slowly a line may arrive, or an answer may be taken. */
struct ProgressRule
{
  /** For this long, no rate is required. */
  Duration grace = std::chrono::seconds(5);
  /** Longest time for the whole. */
  Duration maxTime = std::chrono::seconds(30);
  /** Least average rate after the grace, in bytes per second. */
  std::size_t minBytesPerSecond = 4096;

  /** Returns the instant at which a transfer is too slow, unless more bytes are transferred before.
      Thread safety: pure. */
  Instant DueAt(Instant aBegunAt, std::size_t aTransferredBytes) const;
};

} // namespace mustardshift::proxy

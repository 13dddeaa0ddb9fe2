#pragma once

#include "core/base/Instant.h"
#include "proxy/limits/ProgressRule.h"

#include <cstddef>

namespace mustardshift::proxy {

/** Limits for each client and for each result. No client that keeps to the protocol reaches the
    defaults: they leave 1 MiB, the largest message, 26 s on a link of 40 KB/s. */
struct ClientLimits
{
  /** Time from the connection to START. */
  Duration startTimeout = std::chrono::seconds(10);
  ProgressRule line;
  /** Answers can be larger than lines, so they get more time: 16 MiB at 1.2 Mbit/s. */
  ProgressRule answer{ std::chrono::seconds(5), std::chrono::seconds(120), 4096 };
  /** Session variables and prepared statements of one session, in bytes. Several values of the
      largest size fit. */
  std::size_t sessionStateBytes = std::size_t(4) << 20;
  /** Rows of one result, in bytes. */
  std::size_t resultBytes = std::size_t(16) << 20;
  /** VMs that may be attached to this member: more than twice the VMs of the largest fleet. */
  std::size_t attachedVms = 2000;
};

} // namespace mustardshift::proxy

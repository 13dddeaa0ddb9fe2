#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "protocol/peer/KnownPrimary.h"
#include "protocol/peer/PeerHeader.h"

#include <optional>

namespace mustardshift {

/** Answers a SuspicionQuery. */
struct SuspicionAnswer
{
  PeerHeader header;
  /** True when the sender suspects the primary that the query names, in the term that it names. */
  bool suspects = false;
  FailureDomainName failureDomain;
  /** What the sender knows; a higher term than the query's tells the asker of a promotion. */
  KnownPrimary knownPrimary;
  /** Age of the platform's last answer to the sender; nothing when there was none. */
  std::optional<Duration> platformAnswerAge;

  friend bool operator==(const SuspicionAnswer&, const SuspicionAnswer&) = default;
};

} // namespace mustardshift

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
  /** The primary of the database that the sender knows. A term higher than the query's informs the
      VM that sent the query of a promotion. */
  KnownPrimary knownPrimary;
  /** Time since the platform's last answer to the sender; empty when it has not answered yet. */
  std::optional<Duration> platformAnswerAge;

  friend bool operator==(const SuspicionAnswer&, const SuspicionAnswer&) = default;
};

} // namespace mustardshift

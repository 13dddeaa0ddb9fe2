#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mustardshift {

/** Time without a valid response after which a primary is suspected. Probes go out every 200 ms, so
    it spans three of them. */
inline constexpr Duration kSuspicionTimeout{ 600'000 };

/** Notices primaries that no longer answer this VM. A primary is suspected once it has given no
    valid response for the timeout and at least two probes or requests have failed since the last
    one: after this VM was paused, the one probe that was under way proves nothing.

    Thread safety: none. */
class SuspicionTracker
{
public:
  explicit SuspicionTracker(Duration aTimeout = kSuspicionTimeout);

  /** Sets a database's primary. When the term or the primary is new, the timeout starts at aNow. */
  void Watch(const DatabaseName& aDatabase,
             std::uint64_t aTerm,
             const ServerAddress& aPrimary,
             Instant aNow);

  void Forget(const DatabaseName& aDatabase);

  /** Takes a valid response: one that shows the server leading in the watched term. Others are
      ignored, as are those of servers and databases that are not watched. */
  void RecordResponse(const DatabaseName& aDatabase,
                      std::uint64_t aTerm,
                      const ServerAddress& aServer,
                      Instant aNow);

  /** Takes a probe or request that failed, timed out, or showed that the server does not lead. */
  void RecordFailure(const DatabaseName& aDatabase, const ServerAddress& aServer);

  /** Tells whether the primary of this term is suspected; false when another term is watched. */
  bool IsSuspected(const DatabaseName& aDatabase, std::uint64_t aTerm, Instant aNow) const;

  /** All databases whose watched primary is suspected, in the order of their names. */
  std::vector<DatabaseName> Suspected(Instant aNow) const;

private:
  struct Watched
  {
    std::uint64_t term = 0;
    ServerAddress primary;
    Instant lastResponse;
    unsigned failures = 0;
  };

  bool IsUnresponsive(const Watched& aWatched, Instant aNow) const;

  Duration timeout;
  std::map<DatabaseName, Watched> databases;
};

} // namespace mustardshift

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <cstdint>
#include <map>
#include <vector>

namespace mustardshift {

/** Time without a valid response after which a primary is suspected. Probes are sent every 200 ms,
    so it covers three of them. */
inline constexpr Duration kSuspicionTimeout{ 600'000 };

/** Failure detector for primaries. A primary is suspected once it has given no valid response for
    the duration of the timeout and at least two probes or requests have failed since its last valid
    response. One failure is not enough: if this VM itself was paused, the probe that was in
    progress fails although the primary is healthy.

    Thread safety: none. */
class SuspicionTracker
{
public:
  explicit SuspicionTracker(Duration aTimeout = kSuspicionTimeout);

  /** Sets the monitored primary of a database. If the term or the primary differs from the previous
      one, the timeout starts at aNow and the failures are reset. */
  void Monitor(const DatabaseName& aDatabase,
               std::uint64_t aTerm,
               const ServerAddress& aPrimary,
               Instant aNow);

  /** Stops monitoring a database. */
  void StopMonitoring(const DatabaseName& aDatabase);

  /** Records a valid response, which is one that shows the server as the primary of aTerm. Ignored
      unless this server is the monitored primary of the database in this term. */
  void RecordResponse(const DatabaseName& aDatabase,
                      std::uint64_t aTerm,
                      const ServerAddress& aServer,
                      Instant aNow);

  /** Records a probe or request that failed, timed out or showed that the server isn't primary. */
  void RecordFailure(const DatabaseName& aDatabase, const ServerAddress& aServer);

  /** Tells whether the primary of this term is suspected; false if another term is monitored. */
  bool IsSuspected(const DatabaseName& aDatabase, std::uint64_t aTerm, Instant aNow) const;

  /** All databases whose monitored primary is suspected, in the order of their names. */
  std::vector<DatabaseName> Suspected(Instant aNow) const;

private:
  struct MonitoredPrimary
  {
    std::uint64_t term = 0;
    ServerAddress primary;
    Instant lastResponse;
    unsigned failures = 0;
  };

  bool IsUnresponsive(const MonitoredPrimary& aMonitored, Instant aNow) const;

  Duration timeout;
  std::map<DatabaseName, MonitoredPrimary> databases;
};

} // namespace mustardshift

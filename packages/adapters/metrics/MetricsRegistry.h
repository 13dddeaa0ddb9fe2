#pragma once

#include "adapters/metrics/BoundedFamily.h"
#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Reason.h"
#include "core/base/Verdict.h"
#include "core/configuration/Configuration.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardshift {

/** Metrics of one daemon, under the names that docs/OPERATIONS.md lists. Numbers of label values
    are bounded: 64 organisations, 128 servers and 64 databases by default.

    Thread safety: all methods may be called from any thread. */
class MetricsRegistry
{
public:
  struct Limits
  {
    std::size_t organisations = 64;
    std::size_t servers = 128;
    std::size_t databases = 64;
  };

  MetricsRegistry();
  explicit MetricsRegistry(const Limits& aLimits);

  /** Observes a finished request. An empty organisation stands for a public route. */
  void ObserveRequest(const OrganisationName& aOrganisation, Verdict aVerdict, Duration aTime);
  void CountRefusal(Reason aReason);
  void CountRead(bool aServedByReplica);
  /** Observes a promotion that this VM carried out.
      @param aGap  time from the suspicion to the new primary's first answer. */
  void ObservePromotion(const DatabaseName& aDatabase, Duration aGap);

  void SetConnections(const ServerAddress& aServer, std::size_t aCount);
  void SetQueueLength(const ServerAddress& aServer, std::size_t aLength);
  /** Role of a server as this VM knows it. */
  void SetPrimary(const ServerAddress& aServer, bool aIsPrimary);
  void SetTerm(const DatabaseName& aDatabase, std::uint64_t aTerm);
  void SetHeldShards(std::size_t aCount);
  void SetConfigurationVersion(std::uint64_t aVersion);
  void SetConfigurationTrusted(bool aIsTrusted);
  void SetPlatformReachable(bool aIsReachable);
  void SetDraining(bool aIsDraining);

  /** Removes metrics of organisations, databases and servers that a configuration lacks. */
  void Retain(const Configuration& aConfiguration);

  /** Returns all metrics in Prometheus's text format. */
  std::string ToText() const;

private:
  prometheus::Registry registry;
  BoundedFamily<prometheus::Histogram> requestSeconds;
  BoundedFamily<prometheus::Counter> refusals;
  BoundedFamily<prometheus::Counter> reads;
  BoundedFamily<prometheus::Histogram> promotionSeconds;
  BoundedFamily<prometheus::Gauge> connections;
  BoundedFamily<prometheus::Gauge> queueLength;
  BoundedFamily<prometheus::Gauge> isPrimary;
  BoundedFamily<prometheus::Gauge> term;
  prometheus::Gauge& heldShards;
  prometheus::Gauge& configurationVersion;
  prometheus::Gauge& configurationTrusted;
  prometheus::Gauge& platformReachable;
  prometheus::Gauge& draining;
};

} // namespace mustardshift

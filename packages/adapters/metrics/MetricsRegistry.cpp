#include "adapters/metrics/MetricsRegistry.h"

#include <prometheus/text_serializer.h>

#include <set>

namespace mustardshift {

namespace {

/** Bounds in seconds: from a local read to the longest request timeout. */
const prometheus::Histogram::BucketBoundaries kRequestBuckets{ 0.0005, 0.001, 0.002, 0.005, 0.01,
                                                               0.02,   0.05,  0.1,   0.2,   0.5,
                                                               1,      2,     5,     10 };

/** A promotion has to end within 16 s. */
const prometheus::Histogram::BucketBoundaries kPromotionBuckets{ 0.25, 0.5, 1, 2, 4, 8, 16, 32 };

/** Reasons and read sources are enumerations; the bound only has to be large enough. */
constexpr std::size_t kEnumerationBound = 64;

double ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

auto& RegisterCounters(const char* aName, const char* aHelp, prometheus::Registry& aRegistry)
{
  return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(aRegistry);
}

auto& RegisterGauges(const char* aName, const char* aHelp, prometheus::Registry& aRegistry)
{
  return prometheus::BuildGauge().Name(aName).Help(aHelp).Register(aRegistry);
}

auto& RegisterHistograms(const char* aName, const char* aHelp, prometheus::Registry& aRegistry)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry);
}

} // namespace

MetricsRegistry::MetricsRegistry()
  : MetricsRegistry(Limits{})
{
}

MetricsRegistry::MetricsRegistry(const Limits& aLimits)
  : requestSeconds(RegisterHistograms("mustardshift_request_seconds",
                                      "Time from a request's arrival to its response.",
                                      this->registry),
                   "organisation",
                   aLimits.organisations,
                   kRequestBuckets)
  , refusals(RegisterCounters("mustardshift_refusals_total",
                              "Requests that were refused.",
                              this->registry),
             "reason",
             kEnumerationBound)
  , reads(RegisterCounters("mustardshift_reads_total",
                           "Reads, by the kind of server that answered.",
                           this->registry),
          "source",
          kEnumerationBound)
  , promotionSeconds(RegisterHistograms("mustardshift_promotion_seconds",
                                        "Time without a primary, of promotions by this VM.",
                                        this->registry),
                     "database",
                     aLimits.databases,
                     kPromotionBuckets)
  , connections(RegisterGauges("mustardshift_connections",
                               "Open connections to a database server.",
                               this->registry),
                "server",
                aLimits.servers)
  , queueLength(RegisterGauges("mustardshift_queue_length",
                               "Requests that wait for a database server.",
                               this->registry),
                "server",
                aLimits.servers)
  , isPrimary(RegisterGauges("mustardshift_server_is_primary",
                             "1 for a server that this VM takes for the primary, otherwise 0.",
                             this->registry),
              "server",
              aLimits.servers)
  , term(RegisterGauges("mustardshift_database_term",
                        "Latest term of a database that this VM knows.",
                        this->registry),
         "database",
         aLimits.databases)
  , heldShards(RegisterGauges("mustardshift_held_quota_shards",
                              "Quota shards that this VM holds.",
                              this->registry)
                 .Add({}))
  , configurationVersion(RegisterGauges("mustardshift_configuration_version",
                                        "Version of the configuration in force on this VM.",
                                        this->registry)
                           .Add({}))
  , configurationTrusted(RegisterGauges("mustardshift_configuration_trusted",
                                        "1 while key-protected routes are served, otherwise 0.",
                                        this->registry)
                           .Add({}))
  , platformReachable(RegisterGauges("mustardshift_platform_reachable",
                                     "1 while the platform answers this VM, otherwise 0.",
                                     this->registry)
                        .Add({}))
  , draining(RegisterGauges("mustardshift_draining",
                            "1 while this VM is draining, otherwise 0.",
                            this->registry)
               .Add({}))
{
}

void MetricsRegistry::ObserveRequest(const OrganisationName& aOrganisation,
                                     Verdict aVerdict,
                                     Duration aTime)
{
  this->requestSeconds.Apply(
    aOrganisation.IsEmpty() ? "public" : aOrganisation.Text(),
    { { "verdict", std::string(ToString(aVerdict)) } },
    [aTime](prometheus::Histogram& aHistogram) { aHistogram.Observe(ToSeconds(aTime)); });
}

void MetricsRegistry::CountRefusal(Reason aReason)
{
  this->refusals.Apply(std::string(ToString(aReason)), {}, [](prometheus::Counter& aCounter) {
    aCounter.Increment();
  });
}

void MetricsRegistry::CountRead(bool aServedByReplica)
{
  this->reads.Apply(aServedByReplica ? "replica" : "primary",
                    {},
                    [](prometheus::Counter& aCounter) { aCounter.Increment(); });
}

void MetricsRegistry::ObservePromotion(const DatabaseName& aDatabase, Duration aGap)
{
  this->promotionSeconds.Apply(aDatabase.Text(), {}, [aGap](prometheus::Histogram& aHistogram) {
    aHistogram.Observe(ToSeconds(aGap));
  });
}

void MetricsRegistry::SetConnections(const ServerAddress& aServer, std::size_t aCount)
{
  this->connections.Apply(aServer.Text(), {}, [aCount](prometheus::Gauge& aGauge) {
    aGauge.Set(static_cast<double>(aCount));
  });
}

void MetricsRegistry::SetQueueLength(const ServerAddress& aServer, std::size_t aLength)
{
  this->queueLength.Apply(aServer.Text(), {}, [aLength](prometheus::Gauge& aGauge) {
    aGauge.Set(static_cast<double>(aLength));
  });
}

void MetricsRegistry::SetPrimary(const ServerAddress& aServer, bool aIsPrimary)
{
  this->isPrimary.Apply(aServer.Text(), {}, [aIsPrimary](prometheus::Gauge& aGauge) {
    aGauge.Set(aIsPrimary ? 1 : 0);
  });
}

void MetricsRegistry::SetTerm(const DatabaseName& aDatabase, std::uint64_t aTerm)
{
  this->term.Apply(aDatabase.Text(), {}, [aTerm](prometheus::Gauge& aGauge) {
    aGauge.Set(static_cast<double>(aTerm));
  });
}

void MetricsRegistry::SetHeldShards(std::size_t aCount)
{
  this->heldShards.Set(static_cast<double>(aCount));
}

void MetricsRegistry::SetConfigurationVersion(std::uint64_t aVersion)
{
  this->configurationVersion.Set(static_cast<double>(aVersion));
}

void MetricsRegistry::SetConfigurationTrusted(bool aIsTrusted)
{
  this->configurationTrusted.Set(aIsTrusted ? 1 : 0);
}

void MetricsRegistry::SetPlatformReachable(bool aIsReachable)
{
  this->platformReachable.Set(aIsReachable ? 1 : 0);
}

void MetricsRegistry::SetDraining(bool aIsDraining)
{
  this->draining.Set(aIsDraining ? 1 : 0);
}

void MetricsRegistry::Retain(const Configuration& aConfiguration)
{
  std::set<std::string> organisations{ "public" };
  for (const Organisation& organisation : aConfiguration.organisations) {
    organisations.insert(organisation.name.Text());
  }
  std::set<std::string> databases;
  std::set<std::string> servers;
  for (const DatabaseGroup& database : aConfiguration.databases) {
    databases.insert(database.name.Text());
    for (const DatabaseServer& server : database.servers) {
      servers.insert(server.address.Text());
    }
  }
  this->requestSeconds.Retain(organisations);
  this->promotionSeconds.Retain(databases);
  this->term.Retain(databases);
  this->connections.Retain(servers);
  this->queueLength.Retain(servers);
  this->isPrimary.Retain(servers);
}

std::string MetricsRegistry::ToText() const
{
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace mustardshift

#include "core/failover/SuspicionTracker.h"

namespace mustardshift {

namespace {

constexpr unsigned kMinFailures = 2;

} // namespace

SuspicionTracker::SuspicionTracker(Duration aTimeout)
  : timeout(aTimeout)
{
}

void SuspicionTracker::Monitor(const DatabaseName& aDatabase,
                               std::uint64_t aTerm,
                               const ServerAddress& aPrimary,
                               Instant aNow)
{
  const auto found = this->databases.find(aDatabase);
  if (found != this->databases.end() && found->second.term == aTerm &&
      found->second.primary == aPrimary) {
    return;
  }
  this->databases[aDatabase] = MonitoredPrimary{ aTerm, aPrimary, aNow, 0 };
}

void SuspicionTracker::StopMonitoring(const DatabaseName& aDatabase)
{
  this->databases.erase(aDatabase);
}

void SuspicionTracker::RecordResponse(const DatabaseName& aDatabase,
                                      std::uint64_t aTerm,
                                      const ServerAddress& aServer,
                                      Instant aNow)
{
  const auto found = this->databases.find(aDatabase);
  if (found == this->databases.end() || found->second.term != aTerm ||
      found->second.primary != aServer) {
    return;
  }
  found->second.lastResponse = aNow;
  found->second.failures = 0;
}

void SuspicionTracker::RecordFailure(const DatabaseName& aDatabase, const ServerAddress& aServer)
{
  const auto found = this->databases.find(aDatabase);
  if (found != this->databases.end() && found->second.primary == aServer) {
    ++found->second.failures;
  }
}

bool SuspicionTracker::IsSuspected(const DatabaseName& aDatabase,
                                   std::uint64_t aTerm,
                                   Instant aNow) const
{
  const auto found = this->databases.find(aDatabase);
  return found != this->databases.end() && found->second.term == aTerm &&
         this->IsUnresponsive(found->second, aNow);
}

std::vector<DatabaseName> SuspicionTracker::Suspected(Instant aNow) const
{
  std::vector<DatabaseName> suspected;
  for (const auto& [name, monitored] : this->databases) {
    if (this->IsUnresponsive(monitored, aNow)) {
      suspected.push_back(name);
    }
  }
  return suspected;
}

bool SuspicionTracker::IsUnresponsive(const MonitoredPrimary& aMonitored, Instant aNow) const
{
  return aMonitored.failures >= kMinFailures && aNow - aMonitored.lastResponse >= this->timeout;
}

} // namespace mustardshift

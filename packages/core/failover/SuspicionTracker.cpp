#include "core/failover/SuspicionTracker.h"

namespace mustardshift {

namespace {

constexpr unsigned kMinimumFailures = 2;

} // namespace

SuspicionTracker::SuspicionTracker(Duration aTimeout)
  : timeout(aTimeout)
{
}

void SuspicionTracker::Watch(const DatabaseName& aDatabase,
                             std::uint64_t aTerm,
                             const ServerAddress& aPrimary,
                             Instant aNow)
{
  const auto found = this->databases.find(aDatabase);
  if (found != this->databases.end() && found->second.term == aTerm &&
      found->second.primary == aPrimary) {
    return;
  }
  this->databases[aDatabase] = Watched{ aTerm, aPrimary, aNow, 0 };
}

void SuspicionTracker::Forget(const DatabaseName& aDatabase)
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
  for (const auto& [name, watched] : this->databases) {
    if (this->IsUnresponsive(watched, aNow)) {
      suspected.push_back(name);
    }
  }
  return suspected;
}

bool SuspicionTracker::IsUnresponsive(const Watched& aWatched, Instant aNow) const
{
  return aWatched.failures >= kMinimumFailures && aNow - aWatched.lastResponse >= this->timeout;
}

} // namespace mustardshift

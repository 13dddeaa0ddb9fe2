#include "proxy/outlier/OutlierDetector.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** Fewer answers or failures than these in the window say nothing about the ratio of failures. */
constexpr unsigned kMinAnswers = 20;
constexpr unsigned kMinFailures = 3;
/** A server is slow if its reads take this many times the reference. Waits and different
    statements make averages differ by less than two. */
constexpr int kSlowFactor = 3;
/** The next ejection is as short as the first one after this many times the length of the
    latest ejection in use. */
constexpr int kForgetFactor = 4;

} // namespace

OutlierDetector::OutlierDetector(OutlierOptions aOptions)
  : options(aOptions)
{
}

void OutlierDetector::SetServers(const std::vector<ServerId>& aReplicas,
                                 const std::optional<ServerId>& aPrimary)
{
  this->replicas = { aReplicas.begin(), aReplicas.end() };
  this->primary = aPrimary;
  const auto isInGroup = [&](const ServerId& aId) {
    return this->replicas.contains(aId) || this->primary == aId;
  };
  std::erase_if(this->servers, [&](const auto& aEntry) { return !isInGroup(aEntry.first); });
  for (const ServerId& id : this->replicas) {
    this->servers.try_emplace(id);
  }
  if (this->primary) {
    this->servers.try_emplace(*this->primary);
  }
}

std::optional<Ejection> OutlierDetector::Record(Instant aNow,
                                                const ServerId& aServer,
                                                const ServerAnswer& aAnswer)
{
  const auto found = this->servers.find(aServer);
  if (found == this->servers.end()) {
    return std::nullopt;
  }
  ServerJudgement& server = found->second;
  if (server.isEjected && aNow < server.ejectedUntil) {
    // The answer of a statement that was sent before the ejection.
    return std::nullopt;
  }
  server.answers.Record(aNow, aAnswer.hasSucceeded);
  server.consecutiveFailures = aAnswer.hasSucceeded ? 0 : server.consecutiveFailures + 1;
  if (aAnswer.hasSucceeded && aAnswer.isRead) {
    server.readTimes.Record(aAnswer.latency);
  }
  if (server.isEjected) {
    if (this->RecordProbe(aNow, aServer, aAnswer)) {
      return std::nullopt;
    }
    this->Eject(aNow, server);
    return Ejection{ aServer, EjectionReason::ProbeFailed, server.ejectedUntil };
  }
  server.reason = this->Judge(aNow, aServer, server);
  if (!server.reason || !this->MayEject(aServer)) {
    return std::nullopt;
  }
  this->Eject(aNow, server);
  return Ejection{ aServer, *server.reason, server.ejectedUntil };
}

void OutlierDetector::RecordReported(const ServerId& aServer, Duration aReadTime)
{
  const auto server = this->servers.find(aServer);
  if (server != this->servers.end()) {
    server->second.reportedReadTime = aReadTime;
  }
}

ServerUse OutlierDetector::UseOf(Instant aNow, const ServerId& aServer) const
{
  const auto server = this->servers.find(aServer);
  if (server == this->servers.end() || !server->second.isEjected || this->DoAllLookBad()) {
    return ServerUse::Used;
  }
  return aNow < server->second.ejectedUntil ? ServerUse::Ejected : ServerUse::Probed;
}

bool OutlierDetector::TakeProbe(Instant aNow, const ServerId& aServer)
{
  if (this->UseOf(aNow, aServer) != ServerUse::Probed) {
    return false;
  }
  ServerJudgement& server = this->servers.at(aServer);
  if (aNow - server.lastProbeAt < kProbeInterval) {
    return false;
  }
  server.lastProbeAt = aNow;
  return true;
}

Duration OutlierDetector::EjectedFor(Instant aNow, const ServerId& aServer) const
{
  switch (this->UseOf(aNow, aServer)) {
    case ServerUse::Used:
      return Duration::zero();
    case ServerUse::Ejected:
      return this->servers.at(aServer).ejectedUntil - aNow;
    case ServerUse::Probed:
      return this->servers.at(aServer).ejectionTime;
  }
  return Duration::zero();
}

std::vector<Ejection> OutlierDetector::Ejections(Instant aNow) const
{
  std::vector<Ejection> ejections;
  for (const auto& [id, server] : this->servers) {
    if (this->UseOf(aNow, id) != ServerUse::Used) {
      ejections.push_back({ id, *server.reason, server.ejectedUntil });
    }
  }
  return ejections;
}

/** Records a read that tests an ejected server. Returns whether it succeeded; the last one
    returns the server to use. */
bool OutlierDetector::RecordProbe(Instant aNow, const ServerId& aId, const ServerAnswer& aAnswer)
{
  ServerJudgement& server = this->servers.at(aId);
  const bool isSlow = aAnswer.isRead && this->IsSlow(aId, aAnswer.latency);
  if (!aAnswer.hasSucceeded || (server.reason == EjectionReason::Latency && isSlow)) {
    return false;
  }
  if (++server.succeededProbes >= kProbes) {
    server.isEjected = false;
    server.reason.reset();
    server.returnedAt = aNow;
    server.answers.Clear();
    server.readTimes.ClearRecent();
  }
  return true;
}

/** Returns why a server that is in use looks bad, or nothing. */
std::optional<EjectionReason> OutlierDetector::Judge(Instant aNow,
                                                     const ServerId& aId,
                                                     const ServerJudgement& aServer) const
{
  if (aServer.consecutiveFailures >= this->options.consecutiveFailures) {
    return EjectionReason::ConsecutiveFailures;
  }
  const unsigned count = aServer.answers.Count(aNow);
  const unsigned failures = aServer.answers.Failures(aNow);
  if (count >= kMinAnswers && failures >= kMinFailures &&
      failures >= this->options.failureRatio * count) {
    return EjectionReason::FailureRatio;
  }
  if (this->IsSlow(aId, aServer.readTimes.Recent())) {
    return EjectionReason::Latency;
  }
  return std::nullopt;
}

bool OutlierDetector::IsSlow(const ServerId& aId, Duration aReadTime) const
{
  const Duration reference = this->ReferenceTime(aId);
  return reference > Duration::zero() && aReadTime > kSlowFactor * reference &&
         aReadTime > this->options.targetLatency / 2;
}

/** Returns the median of the other servers' read times, so that a group that is slow as a whole
    has no outlier; the server's own past if no other is known. */
Duration OutlierDetector::ReferenceTime(const ServerId& aId) const
{
  std::vector<Duration> times;
  for (const auto& [id, server] : this->servers) {
    const Duration own = server.readTimes.Recent();
    const Duration time = own > Duration::zero() ? own : server.reportedReadTime;
    if (id != aId && time > Duration::zero()) {
      times.push_back(time);
    }
  }
  if (times.empty()) {
    return this->servers.at(aId).readTimes.Past();
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

bool OutlierDetector::MayEject(const ServerId& aId) const
{
  if (this->primary == aId) {
    return true;
  }
  const auto ejected =
    std::count_if(this->replicas.begin(), this->replicas.end(), [&](const ServerId& aReplica) {
      return this->servers.at(aReplica).isEjected;
    });
  return 2 * (static_cast<std::size_t>(ejected) + 1) <= this->replicas.size();
}

void OutlierDetector::Eject(Instant aNow, ServerJudgement& aServer) const
{
  const bool isForgotten =
    !aServer.isEjected && aNow - aServer.returnedAt > kForgetFactor * aServer.ejectionTime;
  const bool isFirst = isForgotten || aServer.ejectionTime == Duration::zero();
  aServer.ejectionTime = isFirst ? this->options.baseEjection
                                 : std::min(2 * aServer.ejectionTime, this->options.maxEjection);
  aServer.isEjected = true;
  aServer.ejectedUntil = aNow + aServer.ejectionTime;
  aServer.succeededProbes = 0;
  aServer.consecutiveFailures = 0;
}

bool OutlierDetector::DoAllLookBad() const
{
  return std::all_of(this->servers.begin(), this->servers.end(), [](const auto& aEntry) {
    return aEntry.second.reason.has_value();
  });
}

} // namespace mustardshift::proxy

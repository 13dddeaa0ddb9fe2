#include "proxy/routing/ServerSelector.h"

#include "core/base/Assert.h"
#include "proxy/coordination/StableHash.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace mustardshift::proxy {

namespace {

/** Difference of the costs, in units of the crossing cost, at which half of the statements
    leave. */
constexpr double kHalfLeaveAt = 4;
/** A server whose utilisation is this part above the average of the candidates, beyond
    kFreeImbalance, counts as one crossing more expensive. The busiest server may get 1.25 times the
    mean: with a quarter of writes at 0.15 of the capacity it got 1.22 times as much with 0.1, and
    1.17 with 0.05 (SelectionSimulation). */
constexpr double kImbalancePerCrossing = 0.05;
/** Imbalance that costs nothing. */
constexpr double kFreeImbalance = 0.1;
/** Below this average utilisation, imbalance costs nothing: no statement waits. */
constexpr double kMinUtilisation = 0.1;
/** A server that wasn't drawn is used for lack of time only if its wait is at most this part of
    the time left: many VMs see the same report, and what one of them sends makes the others
    wait. */
constexpr double kSurelyInTime = 0.5;
/** Part of the statements that test a server while it is probed: enough for three probes within
    0.3 s at 500 statements/s of a group, and hardly noticed if they fail. */
constexpr double kProbeShare = 0.02;
/** Smallest unit of the costs. */
constexpr double kMinCostUnitMs = 1;
/** Number of shares above which unused ones are forgotten. */
constexpr std::size_t kMaxShares = 4096;
constexpr Duration kForgetSharesAfter = std::chrono::seconds(60);

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/** Marks the replicas that reads avoid: of those reported as ejected, at most half of the
    replicas, the longest ejections first. */
void LimitEjections(std::vector<RankedCandidate>& aRanked,
                    const std::vector<std::pair<Duration, std::size_t>>& aEjections)
{
  const auto replicas = static_cast<std::size_t>(
    std::count_if(aRanked.begin(), aRanked.end(), [](const RankedCandidate& aCandidate) {
      return !aCandidate.candidate->isPrimary;
    }));
  const std::size_t limit = std::max<std::size_t>(1, replicas / 2);
  std::size_t ejected = 0;
  for (const auto& [time, index] : aEjections) {
    const bool isPrimary = aRanked[index].candidate->isPrimary;
    aRanked[index].isEjected = isPrimary || ejected++ < limit;
  }
  if (aEjections.size() == aRanked.size()) {
    for (RankedCandidate& candidate : aRanked) {
      candidate.isEjected = false;
    }
  }
}

/** Returns the replica that all VMs choose for an organisation; nullptr if there is none to use. */
RankedCandidate* FindAffinity(const SelectionRequest& aRequest,
                              std::vector<RankedCandidate>& aRanked)
{
  RankedCandidate* preferred = nullptr;
  std::uint64_t highest = 0;
  for (RankedCandidate& candidate : aRanked) {
    if (candidate.candidate->isPrimary || candidate.isEjected) {
      continue;
    }
    const std::uint64_t hash =
      StableHash(aRequest.organisation.Text() + "/" + candidate.candidate->server.Text());
    if (preferred == nullptr || hash > highest) {
      preferred = &candidate;
      highest = hash;
    }
  }
  return preferred;
}

/** Returns the index of the server that was drawn, unless the statement can't start in time
    there but can elsewhere. */
std::size_t FirstInTime(const std::vector<RankedCandidate>& aRanked,
                        std::size_t aDrawn,
                        double aTimeLeftMs)
{
  std::size_t first = aDrawn;
  if (aRanked[aDrawn].startMs > aTimeLeftMs) {
    for (std::size_t index = 0; index < aRanked.size(); ++index) {
      const bool isInTime =
        !aRanked[index].isEjected && aRanked[index].startMs < kSurelyInTime * aTimeLeftMs;
      if (isInTime && aRanked[index].startMs < aRanked[first].startMs) {
        first = index;
      }
    }
  }
  return first;
}

} // namespace

ServerSelector::ServerSelector(const ServerLoadView& aView, ServerSelectorOptions aOptions)
  : options(std::move(aOptions))
  , view(aView)
{
}

SelectionResult ServerSelector::Rank(Instant aNow, const SelectionRequest& aRequest)
{
  MUSTARDSHIFT_ASSERT(!aRequest.candidates.empty());
  Ranked ranked = this->Judge(aNow, aRequest);
  const Home home = this->MarkHome(aRequest, ranked);
  const auto [first, reason] = this->ChooseFirst(aNow, aRequest, home, ranked);
  SelectionResult result;
  result.reason = ranked.size() == 1 ? SelectionReason::Only : reason;
  result.crossesDomains = ranked[first].candidate->domain != this->options.ownDomain;
  std::swap(ranked[0], ranked[first]);
  std::stable_sort(ranked.begin() + 1, ranked.end(), [](const auto& aOne, const auto& aOther) {
    return std::pair(aOne.isEjected, aOne.costMs) < std::pair(aOther.isEjected, aOther.costMs);
  });
  for (const RankedCandidate& candidate : ranked) {
    result.servers.push_back(candidate.candidate->server);
  }
  return result;
}

/** Returns the index of the server to try first, and why. */
std::pair<std::size_t, SelectionReason> ServerSelector::ChooseFirst(
  Instant aNow,
  const SelectionRequest& aRequest,
  const Home& aHome,
  const Ranked& aRanked)
{
  const double leaving = this->ShareFor(aNow, { aRequest.group, aHome.affinity })
                           .Update(aNow, this->TargetShare(aRanked));
  if (aRequest.draw < kProbeShare) {
    const auto probed =
      std::find_if(aRanked.begin(), aRanked.end(), [](const RankedCandidate& aCandidate) {
        return aCandidate.isEjected && aCandidate.isProbed;
      });
    if (probed != aRanked.end()) {
      return { static_cast<std::size_t>(probed - aRanked.begin()), SelectionReason::Probe };
    }
  }
  const bool leaves = aRequest.draw < leaving;
  const double draw = leaves ? aRequest.draw / leaving : (aRequest.draw - leaving) / (1 - leaving);
  const std::size_t drawn = this->Draw(aRanked, !leaves, draw);
  const std::size_t first = FirstInTime(aRanked, drawn, ToMilliseconds(aRequest.timeLeft));
  if (first != drawn) {
    return { first, SelectionReason::TimeLeft };
  }
  return { first, leaves ? SelectionReason::Load : aHome.reason };
}

double ServerSelector::LeavingShareOf(const DatabaseName& aGroup) const
{
  const auto share = this->shares.find({ aGroup, ServerId() });
  return share == this->shares.end() ? 0 : share->second.Value();
}

/** Returns the candidates, in the order of the request, with the costs that don't depend on
    which of them are home. */
ServerSelector::Ranked ServerSelector::Judge(Instant aNow, const SelectionRequest& aRequest) const
{
  Ranked ranked;
  std::vector<std::pair<Duration, std::size_t>> ejections;
  double utilisationSum = 0;
  std::size_t knownCount = 0;
  for (const SelectionCandidate& candidate : aRequest.candidates) {
    const ServerLoad load = this->view.LoadOf(aNow, candidate.server);
    const double startMs = ToMilliseconds(load.ExpectedWait(aRequest.priority)) +
                           ToMilliseconds(candidate.roundTrip) / 2;
    const bool crosses = candidate.domain != this->options.ownDomain;
    const double costMs = startMs + ToMilliseconds(candidate.roundTrip) / 2 +
                          (crosses ? ToMilliseconds(this->options.crossingCost) : 0);
    if (load.ejectedFor > Duration::zero()) {
      ejections.emplace_back(load.ejectedFor, ranked.size());
    }
    if (const auto utilisation = this->view.UtilisationOf(aNow, candidate.server)) {
      utilisationSum += *utilisation;
      ++knownCount;
    }
    ranked.push_back({ &candidate, startMs, costMs, false, false, load.isProbed });
  }
  std::sort(ejections.rbegin(), ejections.rend());
  LimitEjections(ranked, ejections);
  if (knownCount == ranked.size()) {
    this->AddImbalance(aNow, utilisationSum / static_cast<double>(knownCount), ranked);
  }
  return ranked;
}

/** Adds to the costs of servers that are used more than the average. */
void ServerSelector::AddImbalance(Instant aNow, double aAverageUtilisation, Ranked& aRanked) const
{
  if (aAverageUtilisation < kMinUtilisation) {
    return;
  }
  for (RankedCandidate& candidate : aRanked) {
    const double utilisation =
      this->view.UtilisationOf(aNow, candidate.candidate->server).value_or(aAverageUtilisation);
    const double excess = utilisation / aAverageUtilisation - 1 - kFreeImbalance;
    candidate.costMs += std::max(0.0, excess) / kImbalancePerCrossing * this->CostUnit();
  }
}

/** Marks the home servers of the request's organisation, of which there is at least one. */
ServerSelector::Home ServerSelector::MarkHome(const SelectionRequest& aRequest,
                                              Ranked& aRanked) const
{
  if (this->HasLittleDemand(aRequest)) {
    RankedCandidate* preferred = FindAffinity(aRequest, aRanked);
    if (preferred != nullptr) {
      for (RankedCandidate& candidate : aRanked) {
        candidate.costMs += ToMilliseconds(this->options.openTime);
      }
      const bool crosses = preferred->candidate->domain != this->options.ownDomain;
      preferred->costMs -= ToMilliseconds(this->options.openTime) +
                           (crosses ? ToMilliseconds(this->options.crossingCost) : 0);
      preferred->isHome = true;
      return { preferred->candidate->server, SelectionReason::Affinity };
    }
  }
  bool hasOwnServer = false;
  for (RankedCandidate& candidate : aRanked) {
    candidate.isHome =
      !candidate.isEjected && candidate.candidate->domain == this->options.ownDomain;
    hasOwnServer |= candidate.isHome;
  }
  if (!hasOwnServer) {
    for (RankedCandidate& candidate : aRanked) {
      candidate.isHome = !candidate.isEjected;
    }
  }
  return { ServerId(), hasOwnServer ? SelectionReason::OwnDomain : SelectionReason::NoOwnServer };
}

bool ServerSelector::HasLittleDemand(const SelectionRequest& aRequest) const
{
  const auto parts = static_cast<double>(this->options.groupCount * this->options.domainCount);
  return aRequest.organisationRate > 0 && aRequest.organisationRate < kLittleDemand * parts;
}

/** Share that should leave at the present costs. Grows more slowly with larger differences:
    waits of loaded servers change a lot with little work. */
double ServerSelector::TargetShare(const Ranked& aRanked) const
{
  const double none = std::numeric_limits<double>::infinity();
  double homeCost = none;
  double awayCost = none;
  for (const RankedCandidate& candidate : aRanked) {
    double& least = candidate.isHome ? homeCost : awayCost;
    if (!candidate.isEjected) {
      least = std::min(least, candidate.costMs);
    }
  }
  const double difference = (homeCost - awayCost) / this->CostUnit();
  return difference > 0 ? difference / (difference + kHalfLeaveAt) : 0;
}

LeavingShare& ServerSelector::ShareFor(Instant aNow, const HomeKey& aKey)
{
  if (this->shares.size() >= kMaxShares) {
    std::erase_if(this->shares, [&](const auto& aEntry) {
      return aNow - aEntry.second.ChangedAt() > kForgetSharesAfter;
    });
  }
  return this->shares[aKey];
}

/** Draws one of the home servers or of the others, by slots and cost. Ejected servers are not
    drawn. Returns its index. */
std::size_t ServerSelector::Draw(const Ranked& aRanked, bool aIsHome, double aDraw) const
{
  const auto isEligible = [&](const RankedCandidate& aCandidate) {
    return aCandidate.isHome == aIsHome && !aCandidate.isEjected;
  };
  double leastCost = std::numeric_limits<double>::infinity();
  for (const RankedCandidate& candidate : aRanked) {
    leastCost = isEligible(candidate) ? std::min(leastCost, candidate.costMs) : leastCost;
  }
  const auto weightOf = [&](const RankedCandidate& aCandidate) {
    const double excess = (aCandidate.costMs - leastCost) / this->CostUnit();
    return isEligible(aCandidate) ? aCandidate.candidate->slots / (1 + excess) : 0;
  };
  double sum = 0;
  for (const RankedCandidate& candidate : aRanked) {
    sum += weightOf(candidate);
  }
  double rest = aDraw * sum;
  std::size_t last = 0;
  for (std::size_t index = 0; index < aRanked.size(); ++index) {
    const double weight = weightOf(aRanked[index]);
    if (weight > 0) {
      last = index;
      if (rest < weight) {
        break;
      }
      rest -= weight;
    }
  }
  return last;
}

double ServerSelector::CostUnit() const
{
  return std::max(kMinCostUnitMs, ToMilliseconds(this->options.crossingCost));
}

} // namespace mustardshift::proxy

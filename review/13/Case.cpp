// After a drill of the store, fencing tokens with which a VM has promoted are given out again. The
// next holder of the promotion lease promotes with one of them.

#include "../12/standins/Deployment.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace mustardshift::review {

namespace {

const std::vector<std::string> kServices{ "db1", "db2", "db3" };
/** Order in which the primaries are replaced for the second time. */
const std::vector<std::string> kLaterOrder{ "db2", "db3", "db1" };

/** Length of the drill, and age of the copy from which the store comes back. */
constexpr milliseconds kDrillLength(500);
constexpr milliseconds kCopyAge(3000);
/** Time between the replacements of two primaries. */
constexpr milliseconds kReleaseGap(200);
constexpr milliseconds kLaterReleaseGap(1000);
/** Time until a new primary is listed, after its promotion has ended. */
constexpr milliseconds kListingTime(150);
constexpr milliseconds kCalmTime(12000);
constexpr milliseconds kSettleTime(3000);
constexpr milliseconds kOrderTimeout(12000);
/** grace_s of the site. */
constexpr milliseconds kGrace(6000);
constexpr milliseconds kPause(20);

void DrainPrimary(Deployment& aDeployment, const std::string& aService)
{
  aDeployment.databases.Drain(aDeployment.databases.PrimaryOf(aService));
}

/** Waits until an order has been accepted for each service since an instant. Returns the latest of
    them. */
std::optional<PromotionCall> AwaitOrders(Deployment& aDeployment, Time aSince)
{
  const Time until = Clock::now() + kOrderTimeout;
  while (Clock::now() < until) {
    std::set<std::string> promoted;
    std::optional<PromotionCall> latest;
    for (const PromotionCall& call : aDeployment.orders.Calls()) {
      if (call.receivedAt >= aSince && call.status == 200) {
        promoted.insert(call.service);
        latest = call;
      }
    }
    if (promoted.size() == kServices.size()) {
      return latest;
    }
    std::this_thread::sleep_for(kPause);
  }
  return std::nullopt;
}

/** Waits until the first primaries no longer lead, and the list of servers shows it. */
void AwaitNewPrimaries(Deployment& aDeployment)
{
  for (const std::string& service : kServices) {
    const std::string old = "i-" + service + "-0";
    while (aDeployment.databases.PrimaryOf(service) == old) {
      std::this_thread::sleep_for(kPause);
    }
  }
  std::this_thread::sleep_for(kListingTime);
}

/** Fencing tokens of a service with which more than one holder has promoted. */
std::size_t CountSharedTokens(const std::vector<PromotionCall>& aCalls)
{
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>> holders;
  for (const PromotionCall& call : aCalls) {
    if (call.status == 200) {
      holders[{ call.service, call.fencingToken }].insert(call.holder);
    }
  }
  return static_cast<std::size_t>(std::count_if(
    holders.begin(), holders.end(), [](const auto& aEntry) { return aEntry.second.size() > 1; }));
}

void PlayDrill(Deployment& aDeployment)
{
  aDeployment.store.GoAway();
  std::this_thread::sleep_for(kDrillLength);
  aDeployment.store.ComeBackFrom(aDeployment.store.CopyFrom(kCopyAge));
  // What the operator wrote is written again.
  aDeployment.SendConfiguration(10, kServices, { "key" });
}

int RunCase(Deployment& aDeployment, bool aHasTrouble)
{
  aDeployment.SendConfiguration(10, kServices, { "key" });
  aDeployment.StartServers(kServices);
  if (!aDeployment.StartVms()) {
    return kCouldNotRun;
  }
  // Planned work: the primaries of the services are replaced; their new servers start first.
  for (const std::string& service : kServices) {
    aDeployment.databases.AddServer(service, "i-" + service + "-3", "kigali-a");
  }
  std::this_thread::sleep_for(kSettleTime);
  const Time firstReleaseAt = Clock::now();
  for (const std::string& service : kServices) {
    DrainPrimary(aDeployment, service);
    std::this_thread::sleep_for(kReleaseGap);
  }
  const auto earlierOrder = AwaitOrders(aDeployment, firstReleaseAt);
  if (!earlierOrder) {
    return kCouldNotRun;
  }
  AwaitNewPrimaries(aDeployment);
  if (aHasTrouble) {
    PlayDrill(aDeployment);
  } else {
    std::this_thread::sleep_for(kDrillLength);
  }
  std::this_thread::sleep_for(kCalmTime);
  // Planned work: the VM that holds the lease is stopped for good.
  aDeployment.record.Write("SIGTERM for " + earlierOrder->holder);
  aDeployment.Vm(earlierOrder->holder).Stop(kGrace);
  aDeployment.record.Write("ended: " + earlierOrder->holder);
  std::this_thread::sleep_for(kSettleTime);
  // Planned work: the primaries of all services are replaced again.
  for (const std::string& service : kServices) {
    aDeployment.databases.AddServer(service, "i-" + service + "-4", "kigali-b");
  }
  std::this_thread::sleep_for(kSettleTime);
  const Time lastReleaseAt = Clock::now();
  for (const std::string& service : kLaterOrder) {
    DrainPrimary(aDeployment, service);
    std::this_thread::sleep_for(kLaterReleaseGap);
  }
  const auto lastOrder = AwaitOrders(aDeployment, lastReleaseAt);
  std::this_thread::sleep_for(kSettleTime);
  const auto running = std::count_if(aDeployment.vms.begin(),
                                     aDeployment.vms.end(),
                                     [](const auto& aVm) { return aVm->IsRunning(); });
  if (!lastOrder || static_cast<std::size_t>(running) + 1 != aDeployment.vms.size()) {
    aDeployment.record.Write("an order for the last releases is missing, or another VM ended");
    return kCouldNotRun;
  }
  const std::size_t shared = CountSharedTokens(aDeployment.orders.Calls());
  const std::string result =
    "ONE: " + std::to_string(shared) + " fencing tokens with which two holders have promoted";
  aDeployment.record.Write("rule " + result);
  std::cout << result << std::endl;
  return shared > 0 ? kBroken : kHeld;
}

} // namespace

} // namespace mustardshift::review

/** Arguments: temporary folder, path of the record, "0" to leave out the disruption. */
int main(int aArgumentCount, char** aArguments)
{
  using namespace mustardshift::review;
  if (aArgumentCount != 4) {
    return kCouldNotRun;
  }
  auto* deployment = std::make_unique<Deployment>(aArguments[1], aArguments[2]).release();
  const int result = RunCase(*deployment, std::string_view(aArguments[3]) != "0");
  deployment->KillVms();
  // Without destructors, because the threads of the stand-ins run until the end of the process.
  ::_exit(result);
}

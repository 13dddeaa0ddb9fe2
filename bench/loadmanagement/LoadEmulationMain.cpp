#include "loadmanagement/LoadDeployment.h"
#include "loadmanagement/LoadEmulation.h"
#include "loadmanagement/LoadResult.h"
#include "loadmanagement/LoadScenario.h"
#include "loadmanagement/SelectionComparison.h"
#include "proxy/admission/ServerAdmission.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace mustardshift::bench;

std::vector<std::pair<std::string, LoadScenario>> Scenarios()
{
  LoadScenario calm;
  LoadScenario burst;
  burst.burst = 2.6;
  LoadScenario hot;
  hot.hotOrganisation = 5;
  LoadScenario faults;
  faults.slowServer = 5;
  faults.failingServer = 0.3;
  faults.idleTransactions = 120;
  LoadScenario all = faults;
  all.burst = 2.6;
  all.hotOrganisation = 5;
  return { { "calm", calm },
           { "burst of priority 2", burst },
           { "hot organisation", hot },
           { "slow and failing server", faults },
           { "all together", all } };
}

void Print(const std::string& aName, LoadResult aResult)
{
  std::printf("%s: arrivals %6.0f rejected %5.3f refused %5.0f crossed %4.2f busiest/mean %4.2f\n",
              aName.c_str(),
              aResult.arrivals,
              aResult.rejected / aResult.arrivals,
              aResult.refused,
              aResult.crossed / aResult.arrivals,
              aResult.busiestToMean);
  for (std::size_t priority = 0; priority < kLoadPriorities; ++priority) {
    PriorityResult& one = aResult.priorities[priority];
    std::printf("  priority %zu: served %.3f, in target %.3f, worst second %.2f, latency p50 %4.0f "
                "p99 %5.0f ms\n",
                priority,
                one.served / one.sent,
                one.withinTarget / one.sent,
                one.WorstSecond(),
                one.latency.Milliseconds(0.5),
                one.latency.Milliseconds(0.99));
  }
}

/** Prints the processor time of one arrival with its step while many requests of 100
    organisations wait, some of them without hope to start in time. */
void PrintAdmissionCost()
{
  using namespace mustardshift;
  using Clock = std::chrono::steady_clock;
  constexpr unsigned kArrivals = 100'000;
  proxy::ServerAdmission admission(4);
  Instant now{ std::chrono::seconds(1000) };
  std::vector<proxy::AdmissionTicket> running;
  std::size_t waiting = 0;
  const auto begin = Clock::now();
  for (unsigned count = 0; count < kArrivals; ++count) {
    // Three times as many arrivals as the server does in 20 ms a statement.
    now += Duration(1667);
    proxy::AdmissionRequest request;
    request.organisation = OrganisationName("organisation-" + std::to_string(count % 100));
    request.priority = count % 3;
    request.startBy = now + std::chrono::milliseconds(2500);
    admission.Add(now, request);
    if (count % 3 == 0 && !running.empty()) {
      admission.Finish(
        now, running.front(), { proxy::AdmissionEnd::Done, std::chrono::milliseconds(20), {} });
      running.erase(running.begin());
    }
    const auto decisions = admission.Step(now);
    running.insert(running.end(), decisions.admitted.begin(), decisions.admitted.end());
    waiting += admission.WaitingCount();
  }
  const std::chrono::duration<double, std::micro> time = Clock::now() - begin;
  std::printf("admission: %.1f us an arrival with %zu waiting\n",
              time.count() / kArrivals,
              waiting / kArrivals);
}

} // namespace

/** Usage: mustardshift_load_emulation [seed]. Prints what is served on the reference
    deployments, with and without the load management of packages/proxy. */
int main(int aArgumentCount, char** aArguments)
{
  const auto seed =
    static_cast<std::uint32_t>(aArgumentCount > 1 ? std::strtoul(aArguments[1], nullptr, 10) : 1);
  // Connections opened per arrival in the runs before this work, and as required.
  const std::vector<double> openedBefore{ 15367.0 / 24026, 27992.0 / 31056 };
  for (std::size_t index = 0; index < LoadDeployments().size(); ++index) {
    const LoadDeployment& deployment = LoadDeployments()[index];
    for (auto [name, scenario] : Scenarios()) {
      scenario.seed = seed;
      const std::string title = deployment.name + ", " + name;
      scenario.mode = LoadMode::Fifo;
      scenario.openedPart = openedBefore[index];
      Print(title + ", FIFO", LoadEmulation(deployment, scenario).Run());
      scenario.mode = LoadMode::Managed;
      Print(title + ", managed, connections as before", LoadEmulation(deployment, scenario).Run());
      scenario.openedPart = 0.05;
      Print(title + ", managed, 1 connection in 20", LoadEmulation(deployment, scenario).Run());
    }
  }
  PrintSelectionComparison(seed);
  PrintAdmissionCost();
  return 0;
}

#pragma once

#include "SimulatedServer.h"
#include "core/base/Instant.h"
#include "loadmanagement/FifoServer.h"
#include "loadmanagement/LoadDeployment.h"
#include "loadmanagement/LoadResult.h"
#include "loadmanagement/LoadScenario.h"
#include "proxy/outlier/OutlierDetector.h"
#include "proxy/retry/RetryBudget.h"
#include "proxy/routing/ServerLoadView.h"
#include "proxy/routing/ServerSelector.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace mustardshift::bench {

/** Runs the decisions of packages/proxy on a reference deployment in virtual time: VMs that choose
    servers, gateways that admit work, servers with slots. Connections, links between VMs and their
    latency are not modelled; the part of the statements that opens a connection is given.

    Thread safety: none. */
class LoadEmulation
{
public:
  LoadEmulation(const LoadDeployment& aDeployment, const LoadScenario& aScenario);

  LoadResult Run();

private:
  struct Vm
  {
    std::size_t domain = 0;
    Duration reportAge{ 0 };
    proxy::ServerLoadView view;
    std::unique_ptr<proxy::ServerSelector> selector;
    proxy::RetryBudget retries;
  };
  struct Server
  {
    std::size_t group = 0;
    std::size_t domain = 0;
    std::unique_ptr<proxy::SimulatedServer> gateway;
    std::unique_ptr<FifoServer> plain;
    std::unique_ptr<proxy::OutlierDetector> detector;
    double arrivals = 0;
  };
  /** One statement of a client. */
  struct Statement
  {
    std::size_t vm = 0;
    std::size_t group = 0;
    std::size_t organisation = 0;
    unsigned priority = 0;
    proxy::WorkKind kind = proxy::WorkKind::Read;
    bool continuesTransaction = false;
    Instant sentAt{};
    Instant deadline{};
    Duration time{ 0 };
    Duration openTime{ 0 };
    unsigned attempts = 0;
    std::set<std::size_t> triedServers;
    /** Statements of its transaction that follow it; zero outside transactions. */
    unsigned left = 0;
    Duration pause{ 0 };
  };
  using StatementPtr = std::shared_ptr<Statement>;

  bool HasFaults(Instant aNow) const;
  void ScheduleOperation(Instant aNow, unsigned aPriority);
  void BeginOperation(Instant aNow, unsigned aPriority);
  void BeginIdleTransaction(Instant aNow);
  void Prepare(Instant aNow, Statement& aStatement);
  void Send(Instant aNow, const StatementPtr& aStatement);
  void SendToPlainServer(Instant aNow, const StatementPtr& aStatement);
  void SendToGateway(Instant aNow, const StatementPtr& aStatement);
  void OnEnd(Instant aNow,
             const StatementPtr& aStatement,
             std::size_t aServer,
             const proxy::SimulatedEnd& aEnd);
  void Retry(Instant aNow, const StatementPtr& aStatement, std::size_t aServer, bool aWasBusy);
  void OnServed(Instant aNow, const StatementPtr& aStatement);
  std::vector<std::size_t> CandidatesOf(const Statement& aStatement) const;
  std::size_t PreferredServer(const Statement& aStatement) const;
  std::size_t SelectServer(Instant aNow, const Statement& aStatement);
  void ApplyFaults(Instant aNow);
  void PublishLoads(Instant aNow);
  Duration RandomTime(unsigned aPriority, proxy::WorkKind aKind);
  double RandomPart();

  const LoadDeployment& deployment;
  LoadScenario scenario;
  std::mt19937 random;
  proxy::Scheduler scheduler;
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<Server> servers;
  std::discrete_distribution<std::size_t> groups;
  std::vector<double> organisationWeights;
  std::discrete_distribution<std::size_t> usualOrganisations;
  std::discrete_distribution<std::size_t> hotOrganisations;
  LoadResult result;
};

} // namespace mustardshift::bench

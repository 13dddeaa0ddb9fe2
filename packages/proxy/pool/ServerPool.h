#pragma once

#include "core/base/Assert.h"
#include "core/base/NameTable.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/ConnectionRequest.h"
#include "proxy/pool/DatabaseNetwork.h"
#include "proxy/pool/PooledConnection.h"
#include "proxy/pool/ServerHealth.h"
#include "proxy/schedule/Scheduler.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** Connections of one VM to all database servers. The number of connections is limited, and each
    connection belongs to one organisation. If the limit is reached, an idle connection of another
    organisation is closed to make room.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class ServerPool
{
public:
  using Connection = PooledConnection<Network>;
  using Request = ConnectionRequest<Network>;
  /** Identifies a waiting request; zero if the request no longer waits. */
  using Ticket = std::uint64_t;

  /** After a connection attempt to a server has failed, no further attempt is made for this
      long. */
  static constexpr Duration kConnectBackoff = std::chrono::milliseconds(100);

  /** All arguments must outlive the pool. */
  ServerPool(Network& aNetwork,
             ClusterState& aCluster,
             ServerHealth& aHealth,
             Scheduler& aScheduler,
             EventLog& aLog)
    : network(aNetwork)
    , cluster(aCluster)
    , health(aHealth)
    , scheduler(aScheduler)
    , log(aLog)
  {
  }
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;
  ~ServerPool() = default;

  /** Sets the number of VMs that share each server's connections. If the number is unknown, other
      VMs may be using this VM's share, so this VM keeps only one connection per server.
      Precondition: not zero. */
  void SetFleetSize(std::optional<std::size_t> aCount)
  {
    MUSTARDSHIFT_ASSERT(aCount != std::size_t(0));
    this->fleetSize = aCount;
  }

  /** Requests a connection. The handler may be called before this returns; the returned ticket is
      then zero. Precondition: the list of candidates is not empty. */
  Ticket Acquire(Instant aNow, Request aRequest)
  {
    MUSTARDSHIFT_ASSERT(!aRequest.candidates.empty());
    const Ticket ticket = ++this->lastTicket;
    const unsigned priority = aRequest.priority;
    auto position =
      std::find_if(this->waiters.begin(), this->waiters.end(), [&](const auto& aWaiter) {
        return aWaiter.request.priority > priority;
      });
    const Instant deadline = aRequest.deadline;
    const auto waiter = this->waiters.insert(position, Waiter{ ticket, std::move(aRequest), aNow });
    if (this->TryServe(aNow, waiter)) {
      return 0;
    }
    waiter->expiry = this->scheduler.Schedule(
      deadline, [this, ticket](Instant aThen) { this->ExpireRequest(aThen, ticket); });
    return ticket;
  }

  /** Removes a waiting request without calling its handler. */
  void Cancel(Ticket aTicket)
  {
    const auto waiter = this->FindWaiter(aTicket);
    if (waiter != this->waiters.end()) {
      this->scheduler.Cancel(waiter->expiry);
      this->waiters.erase(waiter);
    }
  }

  /** Returns a connection to the pool. Precondition: the connection has no open transaction and no
      running command. */
  void Release(Instant aNow, Connection* aConnection)
  {
    aConnection->isBusy = false;
    aConnection->idleSince = aNow;
    aConnection->ForgetLargeState();
    if (!this->MayKeep(*aConnection)) {
      this->Remove(aConnection);
    }
    this->ServeWaiters(aNow);
  }

  /** Closes a connection that the caller holds. */
  void Discard(Instant aNow, Connection* aConnection)
  {
    this->Remove(aConnection);
    this->ServeWaiters(aNow);
  }

  /** Closes idle connections to servers that are no longer in the list of servers, idle connections
      above the limit of this VM, and connections that have been idle
      for aMaxIdle, or for kMaxIdleWhenScarce if the server's connections are scarce. */
  void CloseUnused(Instant aNow, Duration aMaxIdle)
  {
    for (auto& [id, server] : this->servers) {
      const ServerRecord* record = this->cluster.Find(id);
      const bool isScarce = record != nullptr && this->AreConnectionsScarce(*record);
      const Instant idleSince =
        aNow - (isScarce ? std::min(kMaxIdleWhenScarce, aMaxIdle) : aMaxIdle);
      std::vector<Connection*> unusedConnections;
      for (const auto& connection : server.connections) {
        if (!connection->isBusy && connection->idleSince <= idleSince) {
          unusedConnections.push_back(connection.get());
        }
      }
      for (Connection* connection : unusedConnections) {
        this->Remove(connection);
      }
      while (!server.connections.empty()) {
        Connection* oldest = FindOldestIdle(server);
        if (oldest == nullptr || this->MayKeep(*oldest)) {
          break;
        }
        this->Remove(oldest);
      }
    }
    std::erase_if(this->servers, [&](const auto& aEntry) {
      return aEntry.second.connections.empty() && aEntry.second.openingCount == 0 &&
             this->cluster.Find(aEntry.first) == nullptr;
    });
  }

  /** Number of connections to a server that are in use or being opened. */
  std::size_t BusyCount(const ServerId& aId) const
  {
    const auto server = this->servers.find(aId);
    return server == this->servers.end() ? 0 : CountBusy(server->second);
  }
  std::size_t WaitingCount() const { return this->waiters.size(); }
  std::uint64_t OpenedCount() const { return this->openedCount; }

  /** Returns an organisation that has an idle connection to the server, or nothing. */
  std::optional<OrganisationName> IdleOrganisation(const ServerId& aId) const
  {
    const auto server = this->servers.find(aId);
    if (server != this->servers.end()) {
      for (const auto& connection : server->second.connections) {
        if (!connection->isBusy) {
          return connection->organisation;
        }
      }
    }
    return std::nullopt;
  }

private:
  struct Waiter
  {
    Ticket ticket = 0;
    Request request;
    Instant arrivedAt{};
    Scheduler::TaskId expiry{};
    /** Set while a connection is being opened for this request: load of the server to which it is
        opened, plus the cost of opening. In the meantime, the request does not use an idle
        connection to a server whose load is higher than this sum. */
    std::optional<double> openingScore = std::nullopt;
  };
  using Waiters = std::list<Waiter>;
  struct Server
  {
    std::vector<std::unique_ptr<Connection>> connections;
    std::size_t openingCount = 0;
    Instant connectAfter{};
  };

  static std::size_t CountBusy(const Server& aServer)
  {
    return aServer.openingCount + static_cast<std::size_t>(std::count_if(
                                    aServer.connections.begin(),
                                    aServer.connections.end(),
                                    [](const auto& aConnection) { return aConnection->isBusy; }));
  }

  /** Largest number of connections that the server accepts from all VMs together. */
  std::size_t TotalConnectionLimit(const ServerRecord& aServer) const
  {
    const auto& limits = this->cluster.Configuration().connectionLimits;
    const auto limit = limits.find(aServer.group);
    return limit == limits.end() ? 1 : limit->second;
  }

  /** Returns whether the server accepts too few connections for each VM to keep
      kMinConnectionsPerVm. If so, each VM closes its idle connections to the server early, to make
      room for other VMs. This suffices because only a small part of the fleet's connections
      to a server is in use at the same time. */
  bool AreConnectionsScarce(const ServerRecord& aServer) const
  {
    return this->fleetSize &&
           this->TotalConnectionLimit(aServer) < kMinConnectionsPerVm * *this->fleetSize;
  }

  /** Largest number of connections that this VM may have to the server. */
  std::size_t VmConnectionLimit(const ServerRecord& aServer) const
  {
    if (!this->fleetSize) {
      return 1;
    }
    return std::max(std::min(kMinConnectionsPerVm, this->TotalConnectionLimit(aServer)),
                    this->TotalConnectionLimit(aServer) / *this->fleetSize);
  }

  /** Returns whether an idle connection may stay open. */
  bool MayKeep(const Connection& aConnection) const
  {
    const ServerRecord* record = this->cluster.Find(aConnection.server);
    const auto server = this->servers.find(aConnection.server);
    return !aConnection.isBroken && record != nullptr && server != this->servers.end() &&
           server->second.connections.size() <= this->VmConnectionLimit(*record);
  }

  double ScoreOf(const ConnectionCandidate& aCandidate, const ServerRecord& aRecord) const
  {
    const auto server = this->servers.find(aCandidate.server);
    const double busy =
      server == this->servers.end() ? 0 : static_cast<double>(CountBusy(server->second));
    return busy / std::max(1U, aRecord.slots) + aCandidate.penalty;
  }

  typename Waiters::iterator FindWaiter(Ticket aTicket)
  {
    return std::find_if(this->waiters.begin(), this->waiters.end(), [&](const Waiter& aWaiter) {
      return aWaiter.ticket == aTicket;
    });
  }

  void ExpireRequest(Instant aNow, Ticket aTicket)
  {
    const auto waiter = this->FindWaiter(aTicket);
    if (waiter == this->waiters.end()) {
      return;
    }
    const Request request = std::move(waiter->request);
    this->waiters.erase(waiter);
    request.handler(aNow, nullptr);
  }

  void Remove(Connection* aConnection)
  {
    auto& connections = this->servers[aConnection->server].connections;
    std::erase_if(connections, [&](const auto& aEntry) { return aEntry.get() == aConnection; });
  }

  /** Assigns idle connections to the requests that can use them as they are, and only then opens
      connections for the other requests. Closing an idle connection that a waiting request could
      use would cost two connection attempts. */
  void ServeWaiters(Instant aNow)
  {
    // Handlers may add and remove waiters, so iterate over a copy of the tickets.
    std::vector<Ticket> tickets;
    tickets.reserve(this->waiters.size());
    for (const Waiter& waiter : this->waiters) {
      tickets.push_back(waiter.ticket);
    }
    // Serve overdue requests first. Otherwise organisations that always have waiting requests would
    // keep all connections.
    for (const Ticket ticket : this->OverdueTickets(aNow)) {
      const auto waiter = this->FindWaiter(ticket);
      if (waiter != this->waiters.end()) {
        this->TryServe(aNow, waiter);
      }
    }
    for (const Ticket ticket : tickets) {
      const auto waiter = this->FindWaiter(ticket);
      if (waiter != this->waiters.end()) {
        this->TryAssignIdle(aNow, waiter);
      }
    }
    for (const Ticket ticket : tickets) {
      const auto waiter = this->FindWaiter(ticket);
      if (waiter != this->waiters.end()) {
        this->TryServe(aNow, waiter);
      }
    }
  }

  /** Assigns an idle connection to the request, or starts to open one. Returns whether the request
      was served. */
  bool TryServe(Instant aNow, typename Waiters::iterator aWaiter)
  {
    if (!aWaiter->openingScore) {
      const auto [connection, score] = this->FindIdle(aWaiter->request);
      this->TryOpen(aNow, *aWaiter, connection == nullptr ? kUnlimitedScore : score);
    }
    return this->TryAssignIdle(aNow, aWaiter);
  }

  /** Assigns an idle connection to the request, unless a connection to a less loaded server is
      being opened for it. Returns whether a connection was assigned. */
  bool TryAssignIdle(Instant aNow, typename Waiters::iterator aWaiter)
  {
    const auto [connection, score] = this->FindIdle(aWaiter->request);
    if (connection == nullptr || (aWaiter->openingScore && score > *aWaiter->openingScore)) {
      return false;
    }
    connection->isBusy = true;
    this->lastServed[aWaiter->request.organisation] = aNow;
    this->scheduler.Cancel(aWaiter->expiry);
    const Request request = std::move(aWaiter->request);
    this->waiters.erase(aWaiter);
    request.handler(aNow, connection);
    return true;
  }

  /** Returns the organisation's idle connection to the least loaded candidate, and the load of that
      candidate. */
  std::pair<Connection*, double> FindIdle(const Request& aRequest)
  {
    Connection* best = nullptr;
    double bestScore = 0;
    for (const ConnectionCandidate& candidate : aRequest.candidates) {
      const ServerRecord* record = this->cluster.Find(candidate.server);
      const auto server = this->servers.find(candidate.server);
      if (record == nullptr || server == this->servers.end()) {
        continue;
      }
      const double score = this->ScoreOf(candidate, *record);
      if (best != nullptr && score >= bestScore) {
        continue;
      }
      for (const auto& connection : server->second.connections) {
        if (!connection->isBusy && connection->organisation == aRequest.organisation) {
          best = connection.get();
          bestScore = score;
          break;
        }
      }
    }
    return { best, bestScore };
  }

  /** Opens a connection to the least loaded candidate that is below the connection limit or has an
      idle connection that may be closed. Opens none if the score of that candidate is aMaxScore or
      more. */
  void TryOpen(Instant aNow, Waiter& aWaiter, double aMaxScore)
  {
    const ServerRecord* best = nullptr;
    double bestScore = 0;
    for (const ConnectionCandidate& candidate : aWaiter.request.candidates) {
      const ServerRecord* record = this->cluster.Find(candidate.server);
      if (record == nullptr) {
        continue;
      }
      const Server& server = this->servers[candidate.server];
      const bool hasCapacity =
        server.connections.size() + server.openingCount < this->VmConnectionLimit(*record);
      if (aNow < server.connectAfter || server.openingCount >= kMaxConcurrentOpens ||
          (!hasCapacity && !this->MayReplace(aNow, aWaiter, server))) {
        continue;
      }
      // Opening a connection below the limit costs less than closing one that may be needed again.
      const double score =
        this->ScoreOf(candidate, *record) + (hasCapacity ? kOpenPenalty : kReplacePenalty);
      if (best == nullptr || score < bestScore) {
        best = record;
        bestScore = score;
      }
    }
    if (best == nullptr || bestScore >= aMaxScore) {
      return;
    }
    aWaiter.openingScore = bestScore;
    Server& server = this->servers[best->id];
    if (server.connections.size() + server.openingCount >= this->VmConnectionLimit(*best)) {
      this->Remove(FindOldestIdle(server));
    }
    this->Open(aNow, aWaiter, *best);
  }

  /** Returns whether an idle connection may be closed to make room for the request: the connection
      has been idle long enough that it is probably not needed, or the request is overdue. */
  bool MayReplace(Instant aNow, const Waiter& aWaiter, const Server& aServer)
  {
    const Connection* oldest = FindOldestIdle(aServer);
    if (oldest == nullptr) {
      return false;
    }
    if (aNow - oldest->idleSince >= kMinIdleBeforeReplace || this->IsOverdue(aNow, aWaiter)) {
      return true;
    }
    this->ScheduleServe(aNow + kMinIdleBeforeReplace);
    return false;
  }

  bool IsOverdue(Instant aNow, const Waiter& aWaiter) const
  {
    return aNow - aWaiter.arrivedAt >= kOverdueAfter;
  }

  /** Returns the overdue requests, those of the organisations that were served least recently
      first. */
  std::vector<Ticket> OverdueTickets(Instant aNow) const
  {
    std::vector<std::pair<Instant, Ticket>> overdueRequests;
    for (const Waiter& waiter : this->waiters) {
      if (this->IsOverdue(aNow, waiter)) {
        const auto served = this->lastServed.find(waiter.request.organisation);
        overdueRequests.emplace_back(served == this->lastServed.end() ? Instant{} : served->second,
                                     waiter.ticket);
      }
    }
    std::stable_sort(
      overdueRequests.begin(), overdueRequests.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    std::vector<Ticket> tickets;
    tickets.reserve(overdueRequests.size());
    for (const auto& [served, ticket] : overdueRequests) {
      tickets.push_back(ticket);
    }
    return tickets;
  }

  /** Schedules another attempt to serve the waiting requests, unless an earlier one is already
      scheduled. */
  void ScheduleServe(Instant aWhen)
  {
    if (this->nextServeAt && *this->nextServeAt <= aWhen) {
      return;
    }
    this->nextServeAt = aWhen;
    this->scheduler.Schedule(aWhen, [this](Instant aNow) {
      this->nextServeAt.reset();
      this->ServeWaiters(aNow);
    });
  }

  static Connection* FindOldestIdle(const Server& aServer)
  {
    Connection* oldest = nullptr;
    for (const auto& connection : aServer.connections) {
      if (!connection->isBusy && (oldest == nullptr || connection->idleSince < oldest->idleSince)) {
        oldest = connection.get();
      }
    }
    return oldest;
  }

  void Open(Instant aNow, Waiter& aWaiter, const ServerRecord& aServer)
  {
    ++this->servers[aServer.id].openingCount;
    ++this->openedCount;
    const ConnectTarget target{
      aServer.id, aServer.address, aServer.group, aWaiter.request.organisation
    };
    this->network.Connect(
      target,
      [this, target, ticket = aWaiter.ticket, attemptStartedAt = aNow](
        Instant aThen, ServerReply aReply, std::unique_ptr<typename Network::Link> aLink) {
        this->OnOpened(aThen, target, ticket, attemptStartedAt, aReply, std::move(aLink));
      });
  }

  void OnOpened(Instant aNow,
                const ConnectTarget& aTarget,
                Ticket aTicket,
                Instant aAttemptStartedAt,
                const ServerReply& aReply,
                std::unique_ptr<typename Network::Link> aLink)
  {
    Server& server = this->servers[aTarget.server];
    --server.openingCount;
    const auto waiter = this->FindWaiter(aTicket);
    if (waiter != this->waiters.end()) {
      waiter->openingScore.reset();
    }
    if (aReply.status == ReplyStatus::Done && aLink != nullptr) {
      this->health.RecordReply(aTarget.server, aNow);
      this->AddConnection(aNow, aTarget, std::move(aLink));
    } else {
      this->OnConnectFailed(aNow, aTarget, aAttemptStartedAt, aReply);
    }
    this->ServeWaiters(aNow);
  }

  void AddConnection(Instant aNow,
                     const ConnectTarget& aTarget,
                     std::unique_ptr<typename Network::Link> aLink)
  {
    auto connection = std::make_unique<Connection>();
    connection->server = aTarget.server;
    connection->organisation = aTarget.organisation;
    connection->link = std::move(aLink);
    connection->idleSince = aNow;
    Connection* added = connection.get();
    added->link->OnLost([this, added](Instant aThen) { this->OnLinkLost(aThen, added); });
    this->servers[aTarget.server].connections.push_back(std::move(connection));
  }

  /** Called when a connection is lost while no command is running on it. */
  void OnLinkLost(Instant aNow, Connection* aConnection)
  {
    this->log.Write(aNow, "pool", "connection-lost", { { "server", aConnection->server.Text() } });
    this->health.RecordAttemptFailure(aConnection->server, aNow);
    if (aConnection->isBusy) {
      // An open transaction between two statements of its client. The caller that holds the
      // connection returns it.
      aConnection->isBroken = true;
    } else {
      this->Remove(aConnection);
    }
  }

  void OnConnectFailed(Instant aNow,
                       const ConnectTarget& aTarget,
                       Instant aAttemptStartedAt,
                       const ServerReply& aReply)
  {
    Server& server = this->servers[aTarget.server];
    server.connectAfter = aNow + kConnectBackoff;
    if (aReply.status == ReplyStatus::Refused) {
      this->health.RecordReply(aTarget.server, aNow);
    } else {
      this->health.RecordAttemptFailure(aTarget.server, aAttemptStartedAt);
    }
    this->log.Write(
      aNow,
      "pool",
      "connection-refused",
      { { "server", aTarget.server.Text() },
        { "address", aTarget.address.Text() },
        { "error",
          aReply.status == ReplyStatus::Refused ? std::string(NameOf(kErrorCodeNames, aReply.error))
                                                : std::string("no-answer") },
        { "open", std::to_string(server.connections.size()) } });
    this->ScheduleServe(aNow + kConnectBackoff);
  }

  /** Largest number of connections that this VM opens to one server at the same time. Opening a
      connection occupies one of the few slots of the server for longer than a statement does. */
  static constexpr std::size_t kMaxConcurrentOpens = 1;
  /** Number of connections to a server that each VM may open regardless of the fleet size, so that
      a transaction that waits for its client's next statement does not block all other requests. */
  static constexpr std::size_t kMinConnectionsPerVm = 2;
  /** Longest idle time of scarce connections: several times the gap between the end of a
      transaction and the next operation of a busy client. */
  static constexpr Duration kMaxIdleWhenScarce = std::chrono::milliseconds(300);
  /** An idle connection of another organisation may be closed after this time. Longer than the gap
      between consecutive statements. */
  static constexpr Duration kMinIdleBeforeReplace = std::chrono::milliseconds(30);
  /** A request is overdue after this time; it may then replace any idle connection. */
  static constexpr Duration kOverdueAfter = std::chrono::milliseconds(60);
  /** Cost of opening a connection, which occupies a slot of the server; added to the load of the
      server, in statements per slot. If the organisation has an idle connection to one server, a
      connection to another server is opened only if the load of the other server is lower by more
      than this cost. The cost is higher if an idle connection of another organisation is closed
      first, because the closed connection may have to be opened again. */
  static constexpr double kOpenPenalty = 0.7;
  static constexpr double kReplacePenalty = 1.2;
  static constexpr double kUnlimitedScore = std::numeric_limits<double>::infinity();

  Network& network;
  ClusterState& cluster;
  ServerHealth& health;
  Scheduler& scheduler;
  EventLog& log;
  std::optional<std::size_t> fleetSize;
  std::map<ServerId, Server> servers;
  /** Ordered by priority, then by arrival. */
  Waiters waiters;
  Ticket lastTicket = 0;
  std::map<OrganisationName, Instant> lastServed;
  /** Instant of the next scheduled attempt to serve the waiting requests. */
  std::optional<Instant> nextServeAt;
  std::uint64_t openedCount = 0;
};

} // namespace mustardshift::proxy

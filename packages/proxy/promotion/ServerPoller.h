#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/pool/CommandSequence.h"
#include "proxy/pool/ServerPool.h"
#include "proxy/schedule/Scheduler.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace mustardshift::proxy {

/** Sends one command to several servers at the same time and collects their replies.

    Thread safety: none; one thread owns the object. */
template<DatabaseNetwork Network>
class ServerPoller
{
public:
  /** Time that servers have to reply. */
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(400);
  /** Delay before a server that was too busy is asked again. */
  static constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(20);

  /** Replies of the servers that have replied, refusals included. */
  using Replies = std::map<ServerId, ServerReply>;
  using Handler = std::function<void(Instant, const Replies&)>;

  /** All arguments have to outlive the poller. */
  ServerPoller(ServerPool<Network>& aPool,
               const ClusterState& aCluster,
               ServerHealth& aHealth,
               Scheduler& aScheduler)
    : pool(aPool)
    , cluster(aCluster)
    , health(aHealth)
    , scheduler(aScheduler)
  {
  }
  ServerPoller(const ServerPoller&) = delete;
  ServerPoller& operator=(const ServerPoller&) = delete;
  ~ServerPoller() = default;

  /** Sends the command. The handler is called once: when all servers have replied, or after
      kReplyTimeout. Precondition: aServers is not empty.
      @param aRetriesBusy  whether a server that is too busy is asked again until then. */
  void Run(Instant aNow,
           const std::set<ServerId>& aServers,
           const ServerCommand& aCommand,
           bool aRetriesBusy,
           Handler aHandler)
  {
    auto round = std::make_shared<Round>();
    round->command = aCommand;
    round->retriesBusy = aRetriesBusy;
    round->serverCount = aServers.size();
    round->deadline = aNow + kReplyTimeout;
    round->handler = std::move(aHandler);
    for (const ServerId& server : aServers) {
      this->Ask(aNow, round, server);
    }
    this->scheduler.Schedule(round->deadline, [round](Instant aThen) { round->Finish(aThen); });
  }

private:
  struct Round
  {
    ServerCommand command;
    bool retriesBusy = false;
    std::size_t serverCount = 0;
    Instant deadline{};
    Handler handler;
    Replies replies;

    void Finish(Instant aNow)
    {
      if (const Handler done = std::exchange(this->handler, nullptr)) {
        done(aNow, this->replies);
      }
    }
  };

  void Ask(Instant aNow, const std::shared_ptr<Round>& aRound, const ServerId& aServer)
  {
    ConnectionRequest<Network> request;
    request.organisation = this->OrganisationFor(aServer);
    request.candidates = { { aServer, 0 } };
    request.deadline = aRound->deadline;
    request.handler = [this, aRound, aServer](Instant aThen,
                                              PooledConnection<Network>* aConnection) {
      if (aConnection != nullptr) {
        this->Send(aThen, aRound, aServer, aConnection);
      }
    };
    this->pool.Acquire(aNow, std::move(request));
  }

  void Send(Instant aNow,
            const std::shared_ptr<Round>& aRound,
            const ServerId& aServer,
            PooledConnection<Network>* aConnection)
  {
    const auto timer =
      this->scheduler.Schedule(aNow + kReplyTimeout, [this, aConnection](Instant aThen) {
        this->pool.Discard(aThen, aConnection);
      });
    CommandSequence<Network>::Run(aNow,
                                  *aConnection,
                                  this->health,
                                  { aRound->command },
                                  [this, aRound, aServer, aConnection, timer](
                                    Instant aThen, const CommandSequenceResult& aResult) {
                                    this->scheduler.Cancel(timer);
                                    if (aResult.reply.status == ReplyStatus::Lost) {
                                      this->pool.Discard(aThen, aConnection);
                                      return;
                                    }
                                    this->pool.Release(aThen, aConnection);
                                    this->OnReply(aThen, aRound, aServer, aResult.reply);
                                  });
  }

  void OnReply(Instant aNow,
               const std::shared_ptr<Round>& aRound,
               const ServerId& aServer,
               const ServerReply& aReply)
  {
    const bool isBusy = aReply.status == ReplyStatus::Refused && aReply.error == ErrorCode::Busy;
    if (isBusy && aRound->retriesBusy) {
      if (aNow + kBusyRetryDelay < aRound->deadline) {
        this->scheduler.Schedule(aNow + kBusyRetryDelay, [this, aRound, aServer](Instant aThen) {
          this->Ask(aThen, aRound, aServer);
        });
      }
      return;
    }
    aRound->replies[aServer] = aReply;
    if (aRound->replies.size() == aRound->serverCount) {
      aRound->Finish(aNow);
    }
  }

  /** Returns the organisation for which a connection is requested. Each connection belongs to an
      organisation; the commands run on a connection of any organisation. */
  OrganisationName OrganisationFor(const ServerId& aServer) const
  {
    const auto idleOrganisation = this->pool.IdleOrganisation(aServer);
    if (idleOrganisation) {
      return *idleOrganisation;
    }
    const auto& limits = this->cluster.Configuration().limits;
    return limits.empty() ? OrganisationName() : limits.begin()->first;
  }

  ServerPool<Network>& pool;
  const ClusterState& cluster;
  ServerHealth& health;
  Scheduler& scheduler;
};

} // namespace mustardshift::proxy

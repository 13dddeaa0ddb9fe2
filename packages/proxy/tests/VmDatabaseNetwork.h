#pragma once

#include "proxy/tests/FakeNetwork.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace mustardshift::proxy::test {

/** One simulated VM's part of a FakeNetwork, which can be cut off from single servers; satisfies
    DatabaseNetwork. */
class VmDatabaseNetwork
{
public:
  using Link = FakeNetwork::Link;

  /** Time after which an attempt to connect to a server that is cut off fails. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

  /** Precondition: both references outlive the object. Thread safety: none. */
  VmDatabaseNetwork(FakeNetwork& aNetwork, Scheduler& aScheduler)
    : network(aNetwork)
    , scheduler(aScheduler)
  {
  }

  /** See DatabaseNetwork. */
  void Connect(const ConnectTarget& aTarget,
               std::function<void(Instant, ServerReply, std::unique_ptr<Link>)> aHandler)
  {
    if (this->cutServers.contains(aTarget.server)) {
      this->scheduler.Schedule(
        this->network.now + kConnectTimeout,
        [handler = std::move(aHandler)](Instant aNow) { handler(aNow, ServerReply{}, nullptr); });
      return;
    }
    this->network.Connect(aTarget,
                          [this, server = aTarget.server, handler = std::move(aHandler)](
                            Instant aNow, ServerReply aReply, std::unique_ptr<Link> aLink) {
                            if (aLink != nullptr) {
                              this->links[server].insert(aLink.get());
                            }
                            handler(aNow, std::move(aReply), std::move(aLink));
                          });
  }

  /** Cuts this VM off from a server, or ends the cut. */
  void SetCut(const std::string& aServer, bool aIsCut)
  {
    const ServerId server(aServer);
    if (aIsCut) {
      this->cutServers.insert(server);
    } else {
      this->cutServers.erase(server);
    }
    this->network.SetCut(this->links[server], aIsCut);
  }

  bool IsCut(const std::string& aServer) const
  {
    return this->cutServers.contains(ServerId(aServer));
  }

private:
  FakeNetwork& network;
  Scheduler& scheduler;
  std::set<ServerId> cutServers;
  /** All links that were opened; some may have been destroyed since. */
  std::map<ServerId, std::set<Link*>> links;
};

} // namespace mustardshift::proxy::test

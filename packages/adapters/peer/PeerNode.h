#pragma once

#include "adapters/peer/PeerAddress.h"
#include "adapters/peer/PeerNodeCounters.h"
#include "adapters/peer/PeerNodeOptions.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "protocol/peer/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace mustardshift {

/** The websocket links of one VM to its peers: a listener for incoming links, one outgoing link for
    each peer, and one thread that serves them all. Messages leave through the outgoing link only,
    in the order in which they were sent, and may be lost when a link breaks; nothing is resent.

    Each side of a link gives its VM id as it opens; a link whose other side gives none, or another
    than expected, is closed, as is one that brings a message of another sender. The ids are not
    authenticated: the network between VMs is trusted.

    Thread safety: Send, Counters and SetPeers may be called from any thread; Stop not from the
    receive callback. */
class PeerNode
{
public:
  /** Called on the node's thread for each message; it must not block.
      Arguments: the peer's VM id, the message, its size in bytes as it was received. */
  using ReceiveCallback = std::function<void(const VmId&, PeerMessage, std::size_t)>;

  /** Starts to listen. Fails when the address is malformed or taken.
      Precondition: the options name a VM id and a positive queue capacity. */
  static Outcome<std::unique_ptr<PeerNode>> Start(PeerNodeOptions aOptions,
                                                  ReceiveCallback aOnReceive);

  /** Stops the node. */
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  /** Replaces the list of peers; the node's own id in it is ignored. Links to peers that stay at
      their address stay open; those to others close, and what waits for them is dropped. */
  void SetPeers(const std::vector<PeerAddress>& aPeers);

  /** Queues a message for a peer. When the peer's queue is full, its oldest Ping or Pong is
     dropped, or its oldest message when there is none. Returns false when the peer is not on the
     list, the node has stopped, or the message can't be encoded. Precondition: the message's sender
     is this node's id. */
  bool Send(const VmId& aPeer, const PeerMessage& aMessage);

  /** Closes all links and ends the thread; what waits is dropped. No callback runs afterwards. */
  void Stop();

  PeerNodeCounters Counters() const;

  /** The port that the node listens on. */
  std::uint16_t ListenPort() const;

private:
  class Implementation;

  explicit PeerNode(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation;
};

} // namespace mustardshift

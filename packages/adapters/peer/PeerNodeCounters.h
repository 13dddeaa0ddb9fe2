#pragma once

#include <cstdint>

namespace mustardshift {

/** What a PeerNode has counted since its start. Bytes are those of the CBOR messages, without
    frames and TCP headers. */
struct PeerNodeCounters
{
  std::uint64_t messagesSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t messagesReceived = 0;
  std::uint64_t bytesReceived = 0;
  /** Messages that never left because a peer's queue was full or the peer was removed. */
  std::uint64_t messagesDropped = 0;
  /** Incoming messages that don't decode or name another sender than the link's. */
  std::uint64_t messagesRejected = 0;
  /** Links closed, in either direction, because the other side gave no or another VM id. */
  std::uint64_t linksRejected = 0;
  /** Outgoing links that opened and whose peer identified as expected. */
  std::uint64_t linksOpened = 0;
  /** Outgoing links that are open now. */
  std::uint64_t linksOpen = 0;
};

} // namespace mustardshift

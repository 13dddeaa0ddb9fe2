#pragma once

#include <cstdint>

namespace mustardshift::bench {

/** Size of what one node takes part in. */
struct ControlCostOptions
{
  /** VMs that ping each other. */
  unsigned vms = 12;
  unsigned databases = 11;
  unsigned organisations = 30;
  /** Configuration changes a day. */
  double changesPerDay = 3'100;
};

/** Cost of one node's control plane. */
struct ControlCost
{
  /** Sent to peers. */
  double messagesPerSecond = 0;
  double bytesPerSecond = 0;
  /** Per cent of a core, of the decision code and the codec. */
  double processorPercent = 0;
  /** Heap of the decision state, in MiB. */
  double memoryMib = 0;
};

/** Runs one node's decision code and message codec for 20 s of virtual time, with peers and servers
    that answer each message. Not contained: sockets, the event loop, gRPC. */
ControlCost EmulateControl(const ControlCostOptions& aOptions);

} // namespace mustardshift::bench

#pragma once

#include <cstddef>
#include <optional>

namespace mustardshift::proxy {

/** How the file descriptors of a process are divided. */
struct DescriptorPlan
{
  /** Connections of clients; the others are reserved for database servers, the store, other VMs and
      the HTTP ports. */
  std::size_t clients = 0;
  /** Connections for readiness probes, and as many for metrics. */
  std::size_t httpConnections = 0;
  /** Connections of other VMs to the peer address. */
  std::size_t peerConnections = 0;
};

/** Divides descriptors.
    @param aLimit  descriptors that the process may open.
    @param aReserve  descriptors that clients may not use. The default is a quarter, at most 128 or
   a fifteenth if that is more, and at least 32: 286 of 4,300. Thread safety: pure. */
DescriptorPlan MakeDescriptorPlan(std::size_t aLimit, std::optional<std::size_t> aReserve);

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** A member of the fleet as attached VMs know it. */
struct RosterEntry
{
  VmId vm;
  FailureDomainName domain;
  /** Address for datagrams, and for copies of tables, "IP:port". */
  std::string peerAddress;

  friend bool operator==(const RosterEntry&, const RosterEntry&) = default;
};

/** The live members of the fleet, and the number of all VMs. */
struct FleetRoster
{
  std::vector<RosterEntry> members;
  /** Members and VMs attached to them. */
  std::uint32_t vmCount = 0;

  friend bool operator==(const FleetRoster&, const FleetRoster&) = default;
};

} // namespace mustardshift::proxy

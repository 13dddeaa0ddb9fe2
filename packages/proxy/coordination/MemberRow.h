#pragma once

#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mustardshift::proxy {

/** Status that each member of the fleet publishes in the store, every
    FleetCoordinator::kRenewalPeriod; the holder of the promotion lease does so more often. */
struct MemberRow
{
  /** Number of the write within this process, so that each write changes the row. */
  std::uint64_t sequence = 0;
  /** Upper bound, on the store's clock, of the time at which this write was sent. Zero if the VM
      did not know the store's time. */
  std::chrono::milliseconds latestSendTime{ 0 };
  FailureDomainName domain;
  /** Address for datagrams from other VMs, as "IP:port". Empty if the VM receives none. */
  std::string peerAddress;
  /** Version of the rate allocation that the VM applies. */
  std::uint64_t allocationVersion = 0;
  /** Operations per second that clients recently requested. */
  std::map<OrganisationName, double> demand;
  /** Primaries that this VM can't reach. */
  std::set<ServerId> unreachablePrimaries;
  /** Number of VMs that are attached to this member. */
  std::uint32_t attachedVms = 0;
  /** Latest era of the store that the VM knew when it wrote the row. */
  std::uint64_t era = 0;
  /** Version of the configuration that the VM has in force; published only if era is not 0. */
  std::uint64_t configurationVersion = 0;

  friend bool operator==(const MemberRow&, const MemberRow&) = default;
};

/** Encodes a row as CBOR. Thread safety: pure. */
std::string EncodeMemberRow(const MemberRow& aRow);

/** Decodes what EncodeMemberRow() produced. Returns nothing if the bytes are malformed. Thread
    safety: pure. */
std::optional<MemberRow> DecodeMemberRow(std::string_view aBytes);

} // namespace mustardshift::proxy

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

/** What a VM says of itself in the store, about once a second. */
struct MemberRow
{
  /** Counts the writes of one process, so that each changes the row. */
  std::uint64_t sequence = 0;
  /** Latest time on the store's clock at which this write may have been sent; zero when the VM
     didn't know the store's time. */
  std::chrono::milliseconds latestSendTime{ 0 };
  FailureDomainName domain;
  /** Where other VMs send datagrams, "IP:port"; empty for nowhere. */
  std::string peerAddress;
  /** Version of the rate allocation that the VM has put in force. */
  std::uint64_t allocationVersion = 0;
  /** Operations per second that clients lately asked for. */
  std::map<OrganisationName, double> demand;
  /** Primaries that the VM can't reach. */
  std::set<ServerId> unreachablePrimaries;

  friend bool operator==(const MemberRow&, const MemberRow&) = default;
};

/** Writes a row as CBOR. Thread safety: pure. */
std::string EncodeMemberRow(const MemberRow& aRow);

/** Reads what EncodeMemberRow() wrote; nothing when the bytes are malformed.
    Thread safety: pure. */
std::optional<MemberRow> DecodeMemberRow(std::string_view aBytes);

} // namespace mustardshift::proxy

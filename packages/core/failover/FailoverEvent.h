#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/failover/PrimaryRow.h"
#include "core/failover/ServerReport.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

/** Events that a FailoverStateMachine handles. */
namespace mustardshift::failover_event {

/** Lets time pass. Sent at least every 100 ms. */
struct Tick
{};

/** The VMs that answer this VM's pings; ranks are computed from them. This VM itself may be missing
    from the list. */
struct MembersChanged
{
  std::vector<VmId> members;
};

/** This VM's SuspicionTracker began or ceased to suspect the primary of a term. */
struct SuspicionChanged
{
  std::uint64_t term = 0;
  bool suspected = false;
};

/** A peer's answer to QueryPeers. */
struct PeerAnswered
{
  VmId peer;
  FailureDomainName failureDomain;
  /** The term that the query asked about. */
  std::uint64_t term = 0;
  bool suspects = false;
};

/** A peer reported a primary that is recorded in the platform's table. */
struct PrimaryLearned
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** All servers that are out of service because operators drained their failure domain. If the
    primary is one of them, it is replaced as soon as the remaining servers form a majority. */
struct ServersDrained
{
  std::set<ServerAddress> servers;
};

/** Whether the platform is reachable, and the time of its last answer. */
struct PlatformStateChanged
{
  bool reachable = false;
  Instant lastAnswer;
};

/** A server's answer to a probe. */
struct ServerReported
{
  ServerAddress server;
  ServerReport report;
};

/** A server's answer to AcceptTerm. */
struct AcceptTermAnswered
{
  ServerAddress server;
  std::uint64_t term = 0;
  bool accepted = false;
  ServerReport report;
};

/** A server's answer to Promote. */
struct PromoteAnswered
{
  ServerAddress server;
  std::uint64_t term = 0;
  bool accepted = false;
  ServerReport report;
};

/** A server's answer to Follow. */
struct FollowAnswered
{
  ServerAddress server;
  std::uint64_t term = 0;
  bool accepted = false;
  ServerReport report;
};

/** The compare-and-set succeeded. */
struct RowWritten
{
  std::string operationId;
};

/** The compare-and-set failed because the row has another version. `currentRow` is the row that the
    platform stores. */
struct RowConflicted
{
  std::string operationId;
  PrimaryRow currentRow;
};

/** The outcome of the compare-and-set is unknown; it may or may not have taken effect. */
struct RowWriteOutcomeUnknown
{
  std::string operationId;
};

/** A successful answer to ReadRow. */
struct RowRead
{
  std::uint64_t request = 0;
  PrimaryRow row;
};

/** ReadRow failed. */
struct RowReadFailed
{
  std::uint64_t request = 0;
};

} // namespace mustardshift::failover_event

namespace mustardshift {

/** Any event for a FailoverStateMachine. Answers may arrive late, twice or never. */
using FailoverEvent = std::variant<failover_event::Tick,
                                   failover_event::MembersChanged,
                                   failover_event::SuspicionChanged,
                                   failover_event::PeerAnswered,
                                   failover_event::PrimaryLearned,
                                   failover_event::ServersDrained,
                                   failover_event::PlatformStateChanged,
                                   failover_event::ServerReported,
                                   failover_event::AcceptTermAnswered,
                                   failover_event::PromoteAnswered,
                                   failover_event::FollowAnswered,
                                   failover_event::RowWritten,
                                   failover_event::RowConflicted,
                                   failover_event::RowWriteOutcomeUnknown,
                                   failover_event::RowRead,
                                   failover_event::RowReadFailed>;

} // namespace mustardshift

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

/** What a FailoverStateMachine is told. */
namespace mustardshift::failover_event {

/** The present time, at least every 100 ms. */
struct Tick
{};

/** The VMs that this VM's pings reach, which set the ranks; itself may be left out. */
struct MembersChanged
{
  std::vector<VmId> members;
};

/** This VM's own tracker began or ceased to suspect the primary of a term. */
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

/** A primary that is recorded in the platform's table, as a peer knows it. */
struct PrimaryLearned
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** The servers that operators took out of service, with their failure domain. A primary among them
    is replaced, as soon as the others are a majority without them. */
struct ServersDrained
{
  std::set<ServerAddress> servers;
};
/** Whether the platform answers, and when it last did. */
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

/** The compare-and-set took effect. */
struct RowWritten
{
  std::string operationId;
};

/** The compare-and-set found another version; `present` is the row as it stands. */
struct RowConflicted
{
  std::string operationId;
  PrimaryRow present;
};

/** The compare-and-set may or may not have taken effect. */
struct RowWriteOutcomeUnknown
{
  std::string operationId;
};

/** The answer to ReadRow. */
struct RowRead
{
  std::uint64_t request = 0;
  PrimaryRow row;
};

struct RowReadFailed
{
  std::uint64_t request = 0;
};

} // namespace mustardshift::failover_event

namespace mustardshift {

/** Any event for a FailoverStateMachine. Answers may come late, twice or never. */
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

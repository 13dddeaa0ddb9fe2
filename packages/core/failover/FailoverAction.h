#pragma once

#include "core/base/Names.h"
#include "core/failover/PrimaryRow.h"

#include <cstdint>
#include <variant>

/** Actions that a FailoverStateMachine requests from its owner. */
namespace mustardshift::failover_action {

/** Ask all member VMs whether they suspect this primary; pass each answer on as PeerAnswered. */
struct QueryPeers
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** Read the group's row from the platform; answer with RowRead or RowReadFailed. */
struct ReadRow
{
  std::uint64_t request = 0;
};

/** Ask a server to accept a term; answer with AcceptTermAnswered. */
struct AcceptTerm
{
  ServerAddress server;
  std::uint64_t term = 0;
};

/** Write `row` if the row's current version is still `row.version`; answer with RowWritten,
    RowConflicted or RowWriteOutcomeUnknown. */
struct CompareAndSetRow
{
  PrimaryRow row;
};

/** Tell a server to act as the primary of a term; answer with PromoteAnswered. */
struct Promote
{
  ServerAddress server;
  std::uint64_t term = 0;
};

/** Tell a server to replicate from the primary of a term; answer with FollowAnswered. */
struct Follow
{
  ServerAddress server;
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** Route requests to this primary and monitor it from now on. */
struct AdoptPrimary
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** Tell all peers about this primary, which has been recorded and promoted. */
struct Announce
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

} // namespace mustardshift::failover_action

namespace mustardshift {

/** Any action of a FailoverStateMachine. Each action may be carried out late, twice or never. */
using FailoverAction = std::variant<failover_action::QueryPeers,
                                    failover_action::ReadRow,
                                    failover_action::AcceptTerm,
                                    failover_action::CompareAndSetRow,
                                    failover_action::Promote,
                                    failover_action::Follow,
                                    failover_action::AdoptPrimary,
                                    failover_action::Announce>;

} // namespace mustardshift

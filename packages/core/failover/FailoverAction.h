#pragma once

#include "core/base/Names.h"
#include "core/failover/PrimaryRow.h"

#include <cstdint>
#include <variant>

/** What a FailoverStateMachine wants done. */
namespace mustardshift::failover_action {

/** Ask all members whether they suspect this primary; pass answers on as PeerAnswered. */
struct QueryPeers
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** Read the group's row; answer with RowRead or RowReadFailed. */
struct ReadRow
{
  std::uint64_t request = 0;
};

struct AcceptTerm
{
  ServerAddress server;
  std::uint64_t term = 0;
};

/** Write `row` if the present version is still `row.version`; answer with RowWritten,
    RowConflicted or RowWriteOutcomeUnknown. */
struct CompareAndSetRow
{
  PrimaryRow row;
};

struct Promote
{
  ServerAddress server;
  std::uint64_t term = 0;
};

struct Follow
{
  ServerAddress server;
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** Use this primary from now on: route to it and watch it. */
struct AdoptPrimary
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

/** Tell all peers of this primary, which is recorded and promoted. */
struct Announce
{
  std::uint64_t term = 0;
  ServerAddress primary;
};

} // namespace mustardshift::failover_action

namespace mustardshift {

/** Any action of a FailoverStateMachine. All may be carried out late, twice or never. */
using FailoverAction = std::variant<failover_action::QueryPeers,
                                    failover_action::ReadRow,
                                    failover_action::AcceptTerm,
                                    failover_action::CompareAndSetRow,
                                    failover_action::Promote,
                                    failover_action::Follow,
                                    failover_action::AdoptPrimary,
                                    failover_action::Announce>;

} // namespace mustardshift

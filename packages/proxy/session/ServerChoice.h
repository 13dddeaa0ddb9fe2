#pragma once

#include "core/base/Names.h"
#include "core/session/LogPosition.h"
#include "proxy/cluster/SessionRoute.h"
#include "proxy/pool/ConnectionCandidate.h"

#include <optional>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** Where and how a statement runs, so that it sees the commits that its route requires. */
enum class StatementPath
{
  /** A read on a server whose log contains a required position. */
  AtPosition,
  /** A read on the primary, inside a transaction that only the primary accepts. */
  CheckedPrimary,
  /** A write, or a transaction that may write, which only the primary accepts. */
  Primary,
  /** A statement on the connection of the open transaction. */
  Pinned,
};

/** A statement for which servers are to be chosen. */
struct ServerChoiceRequest
{
  const SessionRoute& route;
  const OrganisationName& organisation;
  /** A write, or a transaction that may write. */
  bool needsPrimary = false;
  /** Position of the session's latest commit. */
  std::optional<LogPosition> lastCommitPosition;
  /** Servers that were tried and could not run the statement; they are no longer candidates
      for StatementPath::AtPosition. */
  const std::set<ServerId>& excludedServers;
};

/** The servers that may run a statement; none when no server can run it now. */
struct ServerChoice
{
  StatementPath path = StatementPath::Primary;
  /** For StatementPath::AtPosition: the position that the server's log has to contain. */
  std::optional<LogPosition> minimumPosition;
  std::vector<ConnectionCandidate> candidates;
};

} // namespace mustardshift::proxy

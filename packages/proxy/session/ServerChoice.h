#pragma once

#include "core/base/Names.h"
#include "core/session/LogPosition.h"
#include "proxy/cluster/SessionRoute.h"
#include "proxy/pool/ConnectionCandidate.h"

#include <optional>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** How a statement is kept consistent. */
enum class StatementPath
{
  /** The server has to hold a log position. */
  AtPosition,
  /** The primary has to accept a transaction around the read. */
  CheckedPrimary,
  /** A write or a transaction, which only the primary accepts. */
  Primary,
  /** The connection of the open transaction. */
  Pinned,
};

/** A statement that needs a server. */
struct ServerChoiceRequest
{
  const SessionRoute& route;
  const OrganisationName& organisation;
  /** A write, or a transaction that may write. */
  bool needsPrimary = false;
  /** Position of the session's latest commit. */
  std::optional<LogPosition> lastWrite;
  /** Servers that were tried and could not run it. */
  const std::set<ServerId>& excluded;
};

/** The servers that may run a statement; none when it is hopeless now. */
struct ServerChoice
{
  StatementPath path = StatementPath::Primary;
  /** For StatementPath::AtPosition: what the server has to hold. */
  std::optional<LogPosition> minPosition;
  std::vector<ConnectionCandidate> candidates;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/SessionRoute.h"
#include "proxy/statement/ErrorCode.h"
#include "proxy/statement/StatementKind.h"

#include <optional>

namespace mustardshift::proxy {

/** Data about an ended statement for the metrics. */
struct StatementOutcome
{
  OrganisationName organisation;
  ReadConsistency consistency = ReadConsistency::Primary;
  StatementKind kind = StatementKind::Read;
  std::optional<ErrorCode> error;
  Duration duration{ 0 };
  /** A replica ran the statement. */
  bool ranOnReplica = false;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/session/LogPosition.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/StatementResult.h"
#include "database.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift {

/** Returns the request id that is sent to the database: the client's id, prefixed with the
    organisation. Clients choose their ids, and those of different organisations may be equal.
    Thread safety: pure. */
RequestId ScopedRequestId(const OrganisationName& aOrganisation, const RequestId& aRequest);

/** Returns the database request that executes a statement. Thread safety: pure. */
database::v1::Request MakeExecuteFrame(std::uint64_t aTerm,
                                       const Statement& aStatement,
                                       const RequestId& aRequest,
                                       bool aIsReadOnly);

/** Converts a log position from its protocol message. Thread safety: pure. */
LogPosition ToLogPosition(const database::v1::Position& aPosition);

/** Returns the rows and the log position of an answer. Thread safety: pure. */
StatementResult ToStatementResult(const database::v1::Answer& aAnswer);

} // namespace mustardshift

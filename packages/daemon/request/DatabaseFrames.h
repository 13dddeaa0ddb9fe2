#pragma once

#include "core/session/LogPosition.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/StatementResult.h"
#include "database.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift {

/** Returns the id under which a database knows a client's request. Clients choose their ids, so the
    ids of different organisations are kept apart. Thread safety: pure. */
RequestId ScopedRequestId(const OrganisationName& aOrganisation, const RequestId& aRequest);

/** Makes the frame that executes a statement. Thread safety: pure. */
database::v1::Request MakeExecuteFrame(std::uint64_t aTerm,
                                       const Statement& aStatement,
                                       const RequestId& aRequest,
                                       bool aIsReadOnly);

/** Returns the log position of an answer. Thread safety: pure. */
LogPosition ToLogPosition(const database::v1::Position& aPosition);

/** Takes the rows and the position out of an answer. Thread safety: pure. */
StatementResult ToStatementResult(const database::v1::Answer& aAnswer);

} // namespace mustardshift

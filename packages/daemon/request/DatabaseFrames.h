#pragma once

#include "core/session/LogPosition.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/FlowResult.h"
#include "database.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift {

/** Makes the frame that executes a statement. Thread safety: pure. */
database::v1::Request MakeExecuteFrame(std::uint64_t aTerm,
                                       const Statement& aStatement,
                                       const RequestId& aRequest,
                                       bool aIsReadOnly);

/** Returns the log position of an answer. Thread safety: pure. */
LogPosition PositionOf(const database::v1::Position& aPosition);

/** Takes the rows and the position out of an answer. Thread safety: pure. */
FlowResult ResultOf(const database::v1::Answer& aAnswer);

} // namespace mustardshift

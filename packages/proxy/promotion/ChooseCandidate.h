#pragma once

#include "core/session/LogPosition.h"
#include "proxy/cluster/ServerRecord.h"

#include <map>
#include <optional>

namespace mustardshift::proxy {

/** Returns the server with the most complete log; of servers with equal logs, the one with the
    smallest id. Returns nothing if aPositions is empty: a server that doesn't report its position
    is not promoted. Thread safety: pure. */
std::optional<ServerId> ChooseCandidate(const std::map<ServerId, LogPosition>& aPositions);

} // namespace mustardshift::proxy

#pragma once

#include "core/session/LogPosition.h"
#include "proxy/cluster/ServerRecord.h"

#include <map>
#include <optional>

namespace mustardshift::proxy {

/** Chooses the server with the most complete log; of equal ones the first by its id. Nothing when
    no position is known: a server that doesn't answer is not promoted. Thread safety: pure. */
std::optional<ServerId> ChooseCandidate(const std::map<ServerId, LogPosition>& aPositions);

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/outlier/EjectionReason.h"

namespace mustardshift::proxy {

/** A server that reads avoid for a while. */
struct Ejection
{
  ServerId server;
  EjectionReason reason = EjectionReason::ConsecutiveFailures;
  Instant endsAt{};
};

} // namespace mustardshift::proxy

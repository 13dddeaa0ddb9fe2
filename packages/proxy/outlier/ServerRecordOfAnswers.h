#pragma once

#include "core/base/Instant.h"
#include "proxy/outlier/EjectionReason.h"

namespace mustardshift::proxy {

/** What OutlierDetector knows about one server.

    Thread safety: none; one thread owns the object. */
struct ServerRecordOfAnswers
{
  /** Instant until which reads avoid the server. */
  Instant ejectedUntil{};
  EjectionReason reason = EjectionReason::ConsecutiveFailures;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "daemon/request/ConnectionLease.h"

#include <functional>
#include <memory>

namespace mustardshift {

/** A part of a request that needs a connection and is queued until one is free. Exactly one of run
    and refuse is called, once, on the request loop. */
struct QueuedOperation
{
  OrganisationName organisation;
  Instant deadline{};
  std::function<void(Instant, std::shared_ptr<ConnectionLease>)> run;
  /** Called if the operation left the queue without a connection; nothing was sent. */
  std::function<void(Instant, Refusal)> refuse;
};

} // namespace mustardshift

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "daemon/request/ConnectionLease.h"

#include <functional>
#include <memory>

namespace mustardshift {

/** A step of a request that waits for a connection. Exactly one of run and refuse is called, once,
    on the request loop. */
struct Operation
{
  OrganisationName organisation;
  Instant deadline{};
  std::function<void(Instant, std::shared_ptr<ConnectionLease>)> run;
  /** Nothing was sent. */
  std::function<void(Instant, Refusal)> refuse;
};

} // namespace mustardshift

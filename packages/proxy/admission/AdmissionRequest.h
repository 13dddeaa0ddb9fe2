#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/admission/WorkKind.h"

namespace mustardshift::proxy {

/** Work that asks for a start at a database server. */
struct AdmissionRequest
{
  OrganisationName organisation;
  /** Priority of the route; 0 is the highest. */
  unsigned priority = 0;
  /** The work is a statement of an open transaction, which holds its connection already. */
  bool continuesTransaction = false;
  /** Latest instant at which the work may be sent to the server. The caller subtracts from its
      deadline what comes after: ServerAdmission::ExpectedTime() and the way back. */
  Instant startBy{};
  /** Time that is left until the route's target latency; zero or less if it has passed. */
  Duration targetLatencyLeft{ 0 };
  WorkKind kind = WorkKind::Read;
  /** A connection probably has to be opened first, under the same ticket; its time counts in
      the estimates. Not used for WorkKind::Open. */
  bool opensConnection = false;
  /** Share of the organisation among those of the same priority that wait. Precondition: > 0. */
  double weight = 1;
};

} // namespace mustardshift::proxy

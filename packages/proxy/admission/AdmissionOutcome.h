#pragma once

#include "core/base/Instant.h"
#include "proxy/admission/AdmissionEnd.h"

namespace mustardshift::proxy {

/** End of admitted work, with the time that the server took for it. */
struct AdmissionOutcome
{
  AdmissionEnd end = AdmissionEnd::Done;
  /** From sending the work to its answer, without openTime. Used for AdmissionEnd::Done. */
  Duration serverTime{ 0 };
  /** Time that the server took to open a connection for the work; zero if none was opened. */
  Duration openTime{ 0 };
};

} // namespace mustardshift::proxy

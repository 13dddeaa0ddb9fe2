#pragma once

#include "proxy/admission/AdmissionRefusalReason.h"
#include "proxy/admission/AdmissionTicket.h"

namespace mustardshift::proxy {

/** A request that was refused; it has not run. */
struct AdmissionRefusal
{
  AdmissionTicket ticket = 0;
  AdmissionRefusalReason reason = AdmissionRefusalReason::TooMuchAhead;
};

} // namespace mustardshift::proxy

#pragma once

#include "proxy/admission/AdmissionRefusal.h"
#include "proxy/admission/AdmissionTicket.h"

#include <vector>

namespace mustardshift::proxy {

/** What ServerAdmission decided in one step. */
struct AdmissionDecisions
{
  /** Work to send to the server now, in this order. */
  std::vector<AdmissionTicket> admitted;
  /** Work that has not run and won't; the tickets are no longer valid. */
  std::vector<AdmissionRefusal> refused;
};

} // namespace mustardshift::proxy

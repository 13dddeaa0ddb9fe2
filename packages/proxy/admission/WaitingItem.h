#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/admission/AdmissionTicket.h"

namespace mustardshift::proxy {

/** A request in a WaitingLevel. */
struct WaitingItem
{
  AdmissionTicket ticket = 0;
  OrganisationName organisation;
  /** Orders the items of one organisation. */
  Instant due{};
  Instant startBy{};
  /** Expected time of the server for it. */
  Duration cost{ 0 };
  double weight = 1;
};

} // namespace mustardshift::proxy

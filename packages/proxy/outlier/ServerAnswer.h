#pragma once

#include "core/base/Instant.h"

namespace mustardshift::proxy {

/** What one answer of a server says about it. An error of the statement itself, a rejection as
    busy and a refusal of ours are no failures of the server and are not recorded. */
struct ServerAnswer
{
  /** False: the server failed, or its answer was lost. */
  bool hasSucceeded = true;
  /** Time of the server without waits in our queue; used for successful reads. */
  Duration latency{ 0 };
  bool isRead = true;
};

} // namespace mustardshift::proxy

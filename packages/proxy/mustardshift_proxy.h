#pragma once

/** Umbrella header of the session proxy, which runs client sessions over pooled connections to
    groups of database servers and keeps its shared state in the platform's store. The code uses
    neither sockets nor a clock: callers provide the network and the present time. */

#include "proxy/ProxySettings.h"
#include "proxy/RecordDecoder.h"
#include "proxy/SessionProxy.h"

#pragma once

/** Umbrella header of the session proxy: sessions over pooled connections to database groups, with
    its state in the platform's store. Everything here runs without sockets and without a clock. */

#include "proxy/ProxySettings.h"
#include "proxy/RecordDecoder.h"
#include "proxy/SessionProxy.h"

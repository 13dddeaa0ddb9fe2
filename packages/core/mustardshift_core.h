#pragma once

// Umbrella header of mustardshift_core, the coordination parts of mustardshift. The module
// depends on oneTBB (BoundedRing), tl::expected and OpenSSL's libcrypto. It opens no sockets,
// reads no clock and starts no threads.

#include "core/base/Assert.h"
#include "core/base/BoundedRing.h"
#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/queueing/FairQueue.h"
#include "core/rate/TokenBucket.h"
#include "core/session/LogPosition.h"

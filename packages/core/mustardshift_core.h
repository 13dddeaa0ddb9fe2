#pragma once

// Umbrella header of mustardshift_core, the coordination parts of mustardshift. The module
// depends on oneTBB (BoundedRing), tl::expected, nlohmann_json and OpenSSL's libcrypto. It opens no
// sockets, reads no clock and starts no threads.

#include "core/base/Assert.h"
#include "core/base/BoundedRing.h"
#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "core/configuration/ApplyChange.h"
#include "core/configuration/ConfigurationCodec.h"
#include "core/configuration/ConfigurationHistory.h"
#include "core/configuration/KeyHash.h"
#include "core/configuration/KeyIndex.h"
#include "core/configuration/ValidateConfiguration.h"
#include "core/routing/FreshnessTracker.h"
#include "core/routing/ReadRouter.h"
#include "core/session/LogPosition.h"
#include "core/session/SessionToken.h"
#include "core/session/SessionTokenCodec.h"
#include "core/session/TermHistory.h"

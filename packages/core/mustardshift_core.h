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
#include "core/configuration/ConfigurationTrust.h"
#include "core/configuration/Organisation.h"
#include "core/configuration/TrustReport.h"
#include "core/lease/HeldQuotaShard.h"
#include "core/lease/QuotaShard.h"
#include "core/lease/QuotaShardHolder.h"
#include "core/lease/QuotaShardPlan.h"
#include "core/lease/QuotaShardRow.h"
#include "core/lease/QuotaShardWrite.h"
#include "core/membership/MemberTable.h"
#include "core/queueing/FairQueue.h"
#include "core/rate/Admission.h"
#include "core/rate/OrganisationQuota.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "core/rate/QuotaLoanGrant.h"
#include "core/rate/QuotaLoanRequest.h"
#include "core/rate/TokenBucket.h"
#include "core/session/LogPosition.h"

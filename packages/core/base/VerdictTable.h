#pragma once

#include "core/base/Fault.h"
#include "core/base/FollowUp.h"
#include "core/base/Refusal.h"
#include "core/base/RequestKind.h"
#include "core/base/RequestStep.h"

namespace mustardshift {

/** Tells whether a fault can happen to a request of this kind in a step. Thread safety: pure. */
bool IsPossible(RequestStep aStep, Fault aFault, const RequestKind& aKind);

/** Returns the refusal for a request that ends with a fault in a step.

    Before RequestStep::Send nothing has run. From then on only a server's explicit refusal is
    NotRun, and only when no earlier attempt may have run. A pair that is not possible yields
    MayHaveRun and Reason::Internal, which is true of any request. Thread safety: pure. */
Refusal Resolve(RequestStep aStep, Fault aFault, const RequestKind& aKind);

/** Returns what to do about a fault before its refusal is given. Thread safety: pure. */
FollowUp FollowUpOf(RequestStep aStep, Fault aFault, const RequestKind& aKind);

} // namespace mustardshift

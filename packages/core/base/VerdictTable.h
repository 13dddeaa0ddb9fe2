#pragma once

#include "core/base/Fault.h"
#include "core/base/RecoveryAction.h"
#include "core/base/Refusal.h"
#include "core/base/RequestKind.h"
#include "core/base/RequestStep.h"

namespace mustardshift {

/** Tells whether a fault can happen to a request of this kind in a step. Thread safety: pure. */
bool CanOccur(RequestStep aStep, Fault aFault, const RequestKind& aKind);

/** Returns the refusal for a request that ends with a fault in a step.

    Before RequestStep::Send nothing has run. From then on only a server's explicit refusal is
    NotRun, and only when no earlier attempt may have run. A pair that is not possible yields
    MayHaveRun and Reason::Internal, which is true of any request. Thread safety: pure. */
Refusal RefusalFor(RequestStep aStep, Fault aFault, const RequestKind& aKind);

/** Returns what to do about a fault before its refusal is given. Thread safety: pure. */
RecoveryAction RecoveryActionFor(RequestStep aStep, Fault aFault, const RequestKind& aKind);

} // namespace mustardshift

#pragma once

#include "core/base/Fault.h"
#include "core/base/RecoveryAction.h"
#include "core/base/Refusal.h"
#include "core/base/RequestKind.h"
#include "core/base/RequestStep.h"

namespace mustardshift {

/** Returns whether a fault can occur in a step for a request of this kind.
    Thread safety: pure function. */
bool CanOccur(RequestStep aStep, Fault aFault, const RequestKind& aKind);

/** Returns the refusal of a request that ends with a fault in a step.

    Before RequestStep::Send nothing has been sent to a server, so the verdict is NotRun unless an
    earlier attempt may have run. From RequestStep::Send on, only an explicit refusal by a server
    gives NotRun, again only when no earlier attempt may have run. For a step and a fault that can't
    occur together the result is MayHaveRun with Reason::Internal, which is correct for any request.
    Thread safety: pure function. */
Refusal RefusalFor(RequestStep aStep, Fault aFault, const RequestKind& aKind);

/** Returns what to do after a fault, before the request is refused with RefusalFor().
    Thread safety: pure function. */
RecoveryAction RecoveryActionFor(RequestStep aStep, Fault aFault, const RequestKind& aKind);

} // namespace mustardshift

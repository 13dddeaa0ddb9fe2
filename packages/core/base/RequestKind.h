#pragma once

namespace mustardshift {

/** Properties of a request that determine, together with the step and the fault, how the VM handles
    the fault. */
struct RequestKind
{
  /** True when the caller permits that the request runs more than once. */
  bool isRepeatable = false;
  bool isRead = false;
  /** True when an earlier attempt at the same request ended with Verdict::MayHaveRun. A server that
      refuses a later attempt doesn't show whether the earlier one ran. */
  bool mayHaveRunBefore = false;
};

} // namespace mustardshift

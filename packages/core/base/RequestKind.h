#pragma once

namespace mustardshift {

/** What decides, next to the step and the fault, how a request ends. */
struct RequestKind
{
  /** True when the caller allows the request to run more than once. */
  bool isRepeatable = false;
  bool isRead = false;
  /** True when an earlier attempt at the same request ended as MayHaveRun: a later refusal by a
      server says nothing about that attempt. */
  bool mayHaveRunBefore = false;
};

} // namespace mustardshift

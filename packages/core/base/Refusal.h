#pragma once

#include "core/base/Reason.h"
#include "core/base/Verdict.h"

#include <string>

namespace mustardshift {

/** Why a request was refused, and whether it may have run nevertheless. */
struct Refusal
{
  Verdict verdict = Verdict::NotRun;
  Reason reason = Reason::Internal;
  /** Human-readable description, one sentence. Contains neither keys nor values of statements. */
  std::string message;
};

} // namespace mustardshift

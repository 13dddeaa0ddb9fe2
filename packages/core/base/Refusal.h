#pragma once

#include "core/base/Reason.h"
#include "core/base/Verdict.h"

#include <string>

namespace mustardshift {

/** Why a request gave no answer, and whether it may have run. */
struct Refusal
{
  Verdict verdict = Verdict::NotRun;
  Reason reason = Reason::Internal;
  /** One sentence for people, without keys or statement values. */
  std::string message;
};

} // namespace mustardshift

#pragma once

#include "core/base/Refusal.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace mustardshift {

/** The result of an operation: a value, or the refusal when the operation was refused. */
template<class T>
using Outcome = tl::expected<T, Refusal>;

/** Creates the refusal of a request that has not run. Thread safety: pure function. */
inline tl::unexpected<Refusal> RefuseNotRun(Reason aReason, std::string aMessage)
{
  return tl::unexpected<Refusal>(Refusal{ Verdict::NotRun, aReason, std::move(aMessage) });
}

/** Creates the refusal of a request that may have run. Thread safety: pure function. */
inline tl::unexpected<Refusal> RefuseMayHaveRun(Reason aReason, std::string aMessage)
{
  return tl::unexpected<Refusal>(Refusal{ Verdict::MayHaveRun, aReason, std::move(aMessage) });
}

} // namespace mustardshift

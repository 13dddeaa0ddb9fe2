#pragma once

#include "core/base/Refusal.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace mustardshift {

/** A value, or the refusal that took its place. */
template<class T>
using Outcome = tl::expected<T, Refusal>;

/** Makes a refusal of a request that has not run. Thread safety: pure. */
inline tl::unexpected<Refusal> RefuseNotRun(Reason aReason, std::string aMessage)
{
  return tl::unexpected<Refusal>(Refusal{ Verdict::NotRun, aReason, std::move(aMessage) });
}

/** Makes a refusal of a request that may have run. Thread safety: pure. */
inline tl::unexpected<Refusal> RefuseMayHaveRun(Reason aReason, std::string aMessage)
{
  return tl::unexpected<Refusal>(Refusal{ Verdict::MayHaveRun, aReason, std::move(aMessage) });
}

} // namespace mustardshift

#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Says whether a request may have taken effect. */
enum class Verdict
{
  /** The request ran, and its answer is complete. */
  Run,
  /** The request has not run and never will. */
  NotRun,
  /** The request may have run. The caller has to look the request id up, or to repeat the request
      with the same id. */
  MayHaveRun,
};

inline constexpr std::array<std::pair<Verdict, std::string_view>, 3> kVerdictNames{ {
  { Verdict::Run, "run" },
  { Verdict::NotRun, "not-run" },
  { Verdict::MayHaveRun, "may-have-run" },
} };

/** Returns the verdict's name. Thread safety: pure function. */
std::string_view ToString(Verdict aVerdict);

} // namespace mustardshift

#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Why a server was ejected. */
enum class EjectionReason
{
  ConsecutiveFailures,
  FailureRatio,
  Latency,
  /** A read that should return it to use failed. */
  ProbeFailed,
};

inline constexpr std::array<std::pair<EjectionReason, std::string_view>, 4> kEjectionReasonNames{ {
  { EjectionReason::ConsecutiveFailures, "consecutive-failures" },
  { EjectionReason::FailureRatio, "failure-ratio" },
  { EjectionReason::Latency, "latency" },
  { EjectionReason::ProbeFailed, "probe-failed" },
} };

} // namespace mustardshift::proxy

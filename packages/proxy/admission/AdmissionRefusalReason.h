#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Why work was refused before it was sent to a server. In each case it has not run. */
enum class AdmissionRefusalReason
{
  /** On arrival, the work ahead takes longer than the time that is left. */
  TooMuchAhead,
  /** Work that came later and goes first, or a server that became slower, takes the time that
      was left. */
  Displaced,
  /** The time to start it has passed. */
  Expired,
  /** ServerAdmission::kMaxWaiting requests wait, and this one would be the last. */
  QueueFull,
};

inline constexpr std::array<std::pair<AdmissionRefusalReason, std::string_view>, 4>
  kAdmissionRefusalReasonNames{ {
    { AdmissionRefusalReason::TooMuchAhead, "too-much-ahead" },
    { AdmissionRefusalReason::Displaced, "displaced" },
    { AdmissionRefusalReason::Expired, "expired" },
    { AdmissionRefusalReason::QueueFull, "queue-full" },
  } };

} // namespace mustardshift::proxy

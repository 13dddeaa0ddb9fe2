#pragma once

#include <cstdint>

namespace mustardshift::proxy {

/** Number of equal parts into which each organisation's rate and burst are divided. */
inline constexpr std::uint32_t kRateParts = 10'000;

/** One VM's share of an organisation's rate and burst. */
struct RateShare
{
  /** Parts that the VM may use as soon as it has read this allocation. */
  std::uint32_t parts = 0;
  /** Parts that the VM may still be using because it has not confirmed the allocation that revoked
      some of them. Never less than `parts`; not granted to other VMs. */
  std::uint32_t reservedParts = 0;
  /** Version of the allocation that last changed `parts`. */
  std::uint64_t changedInVersion = 0;

  friend bool operator==(const RateShare&, const RateShare&) = default;
};

} // namespace mustardshift::proxy

#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Why a VM asks the load balancer for no new clients. */
enum class HealthReason
{
  /** The daemon isn't ready yet. */
  Starting,
  /** The VM is draining or shutting down. */
  Draining,
  /** The failure domain of the VM is out of service. */
  FailureDomainDrained,
  /** The configuration has not been confirmed within its bound. */
  ConfigurationUntrusted,
  /** No database server can be reached. */
  NoDatabase,
};

inline constexpr std::array<std::pair<HealthReason, std::string_view>, 5> kHealthReasonNames{ {
  { HealthReason::Starting, "starting" },
  { HealthReason::Draining, "draining" },
  { HealthReason::FailureDomainDrained, "failure-domain-drained" },
  { HealthReason::ConfigurationUntrusted, "configuration-untrusted" },
  { HealthReason::NoDatabase, "no-database" },
} };

} // namespace mustardshift

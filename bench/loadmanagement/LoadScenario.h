#pragma once

#include "core/base/Instant.h"

#include <cstdint>

namespace mustardshift::bench {

/** How servers are chosen and how work waits for them. */
enum class LoadMode
{
  /** Each VM sends to the server that its hash prefers; servers queue 32 statements in the
      order of arrival and reject more; rejected statements are sent again at once, up to five
      times. */
  Fifo,
  /** ServerSelector, ServerAdmission, OutlierDetector and RetryBudget. */
  Managed,
};

/** Load and faults of one run. */
struct LoadScenario
{
  LoadMode mode = LoadMode::Managed;
  std::uint32_t seed = 1;
  Duration length = std::chrono::seconds(48);
  /** Faults and bursts last from here to the end, less ten seconds. */
  Duration faultsFrom = std::chrono::seconds(10);
  /** Factor on the demand of the lowest priority. */
  double burst = 1;
  /** Factor on the demand of the third organisation. */
  double hotOrganisation = 1;
  /** Factor on the times of one replica of the busiest group. */
  double slowServer = 1;
  /** Part of the statements that one replica of the second group fails. */
  double failingServer = 0;
  unsigned idleTransactions = 0;
  /** Part of the statements for which a connection is opened first (12 ms of a slot). */
  double openedPart = 0.05;
};

} // namespace mustardshift::bench

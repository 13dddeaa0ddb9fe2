#pragma once

#include "core/base/Instant.h"
#include "proxy/admission/WorkKind.h"

#include <array>

namespace mustardshift::proxy {

/** Average times of the kinds of work at one database server. A single answer counts as at most
    five times the average, so it changes the average by at most four times the inverse of the
    memory.

    Thread safety: none; one thread owns the object. */
class WorkTimeEstimate
{
public:
  /** Assumed until the first answer: opening a connection takes 12 ms, and a statement 6 to 47
      ms, in the reference deployments. */
  static constexpr Duration kDefaultOpenTime = std::chrono::milliseconds(12);
  static constexpr Duration kDefaultStatementTime = std::chrono::milliseconds(20);

  /** @param aMemory  number of answers that an average remembers. Precondition: > 0. */
  explicit WorkTimeEstimate(unsigned aMemory);

  /** Records the time that the server took, without waits. */
  void Record(WorkKind aKind, Duration aTime);

  /** Expected time of a kind of work. */
  Duration Expected(WorkKind aKind) const;

  /** Average of what was measured; zero if nothing was. */
  Duration Measured(WorkKind aKind) const;

private:
  struct Average
  {
    double microseconds = 0;
    unsigned sampleCount = 0;
  };

  const Average& AverageOf(WorkKind aKind) const
  {
    return this->averages[static_cast<std::size_t>(aKind)];
  }

  unsigned memory;
  std::array<Average, kWorkKindCount> averages{};
};

} // namespace mustardshift::proxy

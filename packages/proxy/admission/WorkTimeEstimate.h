#pragma once

#include "core/base/Instant.h"
#include "proxy/admission/WorkKind.h"

#include <array>

namespace mustardshift::proxy {

/** Average times of the kinds of work at one database server. Once 20 answers were measured, a
   single one changes the average by at most a fifth, however long it took.

    Thread safety: none; one thread owns the object. */
class WorkTimeEstimate
{
public:
  /** Assumed until the first answer: opening a connection takes 12 ms, and a statement 6 to 47 ms,
      in the reference deployments. */
  static constexpr Duration kDefaultOpenTime = std::chrono::milliseconds(12);
  static constexpr Duration kDefaultStatementTime = std::chrono::milliseconds(20);

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

  std::array<Average, kWorkKindCount> averages{};
};

} // namespace mustardshift::proxy

#include "proxy/admission/WorkTimeEstimate.h"

#include "core/base/Assert.h"

#include <algorithm>

namespace mustardshift::proxy {

namespace {

/** A single answer counts as at most this many times the average, and at least its inverse.
    Wide enough for the usual range of statements (6 to 47 ms). */
constexpr double kMaxRatio = 5;
/** Number of answers from which on single ones are limited by kMaxRatio. */
constexpr unsigned kSamplesBeforeLimit = 3;

} // namespace

WorkTimeEstimate::WorkTimeEstimate(unsigned aMemory)
  : memory(aMemory)
{
  MUSTARDSHIFT_ASSERT(aMemory > 0);
}

void WorkTimeEstimate::Record(WorkKind aKind, Duration aTime)
{
  Average& average = this->averages[static_cast<std::size_t>(aKind)];
  double sample = std::max(1.0, static_cast<double>(aTime.count()));
  if (average.sampleCount >= kSamplesBeforeLimit) {
    sample = std::clamp(sample, average.microseconds / kMaxRatio, average.microseconds * kMaxRatio);
  }
  average.sampleCount = std::min(average.sampleCount + 1, this->memory);
  average.microseconds += (sample - average.microseconds) / average.sampleCount;
}

Duration WorkTimeEstimate::Expected(WorkKind aKind) const
{
  if (this->AverageOf(aKind).sampleCount > 0) {
    return this->Measured(aKind);
  }
  return aKind == WorkKind::Open ? kDefaultOpenTime : kDefaultStatementTime;
}

Duration WorkTimeEstimate::Measured(WorkKind aKind) const
{
  return Duration(static_cast<Duration::rep>(this->AverageOf(aKind).microseconds));
}

} // namespace mustardshift::proxy

#include "proxy/outlier/AnswerWindow.h"

namespace mustardshift::proxy {

void AnswerWindow::Record(Instant aNow, bool aHasSucceeded)
{
  const std::int64_t number = SliceNumber(aNow);
  Slice& slice = this->slices[static_cast<std::size_t>(number) % kSliceCount];
  if (slice.number != number) {
    slice = { number, 0, 0 };
  }
  ++slice.count;
  slice.failures += aHasSucceeded ? 0 : 1;
}

unsigned AnswerWindow::Count(Instant aNow) const
{
  unsigned count = 0;
  for (const Slice& slice : this->slices) {
    count += SliceNumber(aNow) - slice.number < std::int64_t(kSliceCount) ? slice.count : 0;
  }
  return count;
}

unsigned AnswerWindow::Failures(Instant aNow) const
{
  unsigned failures = 0;
  for (const Slice& slice : this->slices) {
    failures += SliceNumber(aNow) - slice.number < std::int64_t(kSliceCount) ? slice.failures : 0;
  }
  return failures;
}

std::int64_t AnswerWindow::SliceNumber(Instant aNow)
{
  return aNow.time_since_epoch() / (kLength / static_cast<Duration::rep>(kSliceCount));
}

} // namespace mustardshift::proxy

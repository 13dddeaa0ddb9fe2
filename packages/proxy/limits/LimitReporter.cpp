#include "proxy/limits/LimitReporter.h"

#include "core/base/NameTable.h"

#include <string>
#include <utility>

namespace mustardshift::proxy {

void LimitReporter::Report(Instant aNow,
                           LimitKind aKind,
                           std::uint64_t aFigure,
                           std::uint64_t aBound)
{
  if (this->onReached) {
    this->onReached(aKind);
  }
  Entry& entry = this->entries[aKind];
  ++entry.unreported;
  if (entry.hasBeenReported && aNow - entry.reportedAt < kReportPeriod) {
    return;
  }
  entry.hasBeenReported = true;
  entry.reportedAt = aNow;
  const std::uint64_t count = std::exchange(entry.unreported, 0);
  this->log.WriteAlways(aNow,
                        "limit",
                        "reached",
                        { { "limit", std::string(NameOf(kLimitKindNames, aKind)) },
                          { "figure", std::to_string(aFigure) },
                          { "bound", std::to_string(aBound) },
                          { "count", std::to_string(count) } });
}

} // namespace mustardshift::proxy

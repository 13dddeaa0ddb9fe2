#pragma once

#include "core/base/Instant.h"
#include "proxy/limits/LimitKind.h"
#include "proxy/log/EventLog.h"

#include <cstdint>
#include <functional>
#include <map>

namespace mustardshift::proxy {

/** Counts how often limits were reached, and writes at most one log line for each limit in
    kReportPeriod.

    Thread safety: none; one thread owns the object. */
class LimitReporter
{
public:
  static constexpr Duration kReportPeriod = std::chrono::seconds(1);

  /** aLog has to outlive the reporter.
      @param aOnReached  called each time, to record it in the metrics; may be empty. */
  explicit LimitReporter(EventLog& aLog, std::function<void(LimitKind)> aOnReached = nullptr)
    : log(aLog)
    , onReached(std::move(aOnReached))
  {
  }

  /** Reports that a limit was reached.
      @param aFigure  what reached the limit, in the unit of aBound: bytes, milliseconds or a number
                      of connections. */
  void Report(Instant aNow, LimitKind aKind, std::uint64_t aFigure, std::uint64_t aBound);

private:
  struct Entry
  {
    Instant reportedAt{};
    /** Times the limit was reached since the last log line. */
    std::uint64_t unreported = 0;
    bool hasBeenReported = false;
  };

  EventLog& log;
  std::function<void(LimitKind)> onReached;
  std::map<LimitKind, Entry> entries;
};

} // namespace mustardshift::proxy

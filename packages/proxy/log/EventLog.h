#pragma once

#include "core/base/Instant.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Structured log with one line for each decision, "component event key=value ...". The number of
    lines per second is limited; dropped lines are counted, and their number is reported in the log
    itself. Lines never contain keys or values of statements.

    Thread safety: none; one thread owns the object. */
class EventLog
{
public:
  /** Receives a finished line without a line ending; must not block. */
  using Sink = std::function<void(std::string)>;
  using Field = std::pair<std::string_view, std::string>;

  /** Precondition: aLinesPerSecond > 0. */
  EventLog(Sink aSink, double aLinesPerSecond);

  /** Writes a line, or drops it when the limit on lines per second is reached. */
  void Write(Instant aNow,
             std::string_view aComponent,
             std::string_view aEvent,
             std::initializer_list<Field> aFields);

  /** Writes a line regardless of the limit. For events that change the state on which the process
      bases its decisions. */
  void WriteAlways(Instant aNow,
                   std::string_view aComponent,
                   std::string_view aEvent,
                   std::initializer_list<Field> aFields);

  std::uint64_t DroppedLines() const { return this->totalDroppedLines; }

private:
  void Emit(Instant aNow,
            std::string_view aComponent,
            std::string_view aEvent,
            std::initializer_list<Field> aFields);

  Sink sink;
  double linesPerSecond;
  double budget;
  Instant budgetUpdatedAt{};
  /** Shortest time between two reports of dropped lines. */
  static constexpr Duration kReportPeriod = std::chrono::seconds(1);

  std::uint64_t unreportedLines = 0;
  Instant dropsReportedAt{};
  std::uint64_t totalDroppedLines = 0;
};

} // namespace mustardshift::proxy

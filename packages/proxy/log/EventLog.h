#pragma once

#include "core/base/Instant.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Structured log: a line for each decision, "component event key=value ...". The number of lines
    per second is bounded; what is left out is counted and reported in the log itself. Lines never
    hold keys or values of statements.

    Thread safety: none; one thread owns the object. */
class EventLog
{
public:
  /** Takes a finished line, without line end; must not block. */
  using Sink = std::function<void(std::string)>;
  using Field = std::pair<std::string_view, std::string>;

  /** Precondition: aLinesPerSecond > 0. */
  EventLog(Sink aSink, double aLinesPerSecond);

  /** Writes a line unless the budget is used up. */
  void Write(Instant aNow,
             std::string_view aComponent,
             std::string_view aEvent,
             std::initializer_list<Field> aFields);

  /** As Write(), for events that change what the process believes: they are written in any case. */
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
  /** Shortest time between two reports of what was left out. */
  static constexpr Duration kReportPeriod = std::chrono::seconds(1);

  std::uint64_t unreportedLines = 0;
  Instant dropsReportedAt{};
  std::uint64_t totalDroppedLines = 0;
};

} // namespace mustardshift::proxy

#include "proxy/log/EventLog.h"

#include <algorithm>

namespace mustardshift::proxy {

EventLog::EventLog(Sink aSink, double aLinesPerSecond)
  : sink(std::move(aSink))
  , linesPerSecond(aLinesPerSecond)
  , budget(aLinesPerSecond)
{
}

void EventLog::Emit(Instant aNow,
                    std::string_view aComponent,
                    std::string_view aEvent,
                    std::initializer_list<Field> aFields)
{
  std::string line;
  line.reserve(128);
  line.append(std::to_string(aNow.time_since_epoch().count() / 1000));
  line.append(" ").append(aComponent).append(" ").append(aEvent);
  for (const Field& field : aFields) {
    line.append(" ").append(field.first).append("=");
    if (field.second.find_first_of(" \"\n\r") == std::string::npos) {
      line.append(field.second);
      continue;
    }
    line.push_back('"');
    for (const char character : field.second) {
      line.push_back(character == '"' || character == '\n' || character == '\r' ? '\'' : character);
    }
    line.push_back('"');
  }
  this->sink(std::move(line));
}

void EventLog::Write(Instant aNow,
                     std::string_view aComponent,
                     std::string_view aEvent,
                     std::initializer_list<Field> aFields)
{
  const double seconds = std::chrono::duration<double>(aNow - this->budgetUpdatedAt).count();
  this->budgetUpdatedAt = std::max(this->budgetUpdatedAt, aNow);
  this->budget =
    std::min(this->linesPerSecond, this->budget + std::max(0.0, seconds) * this->linesPerSecond);
  if (this->budget < 1) {
    ++this->unreportedLines;
    ++this->totalDroppedLines;
    return;
  }
  this->budget -= 1;
  if (this->unreportedLines > 0 && aNow - this->dropsReportedAt >= kReportPeriod) {
    this->dropsReportedAt = aNow;
    this->Emit(
      aNow, "log", "lines-dropped", { { "count", std::to_string(this->unreportedLines) } });
    this->unreportedLines = 0;
  }
  this->Emit(aNow, aComponent, aEvent, aFields);
}

void EventLog::WriteAlways(Instant aNow,
                           std::string_view aComponent,
                           std::string_view aEvent,
                           std::initializer_list<Field> aFields)
{
  this->Emit(aNow, aComponent, aEvent, aFields);
}

} // namespace mustardshift::proxy

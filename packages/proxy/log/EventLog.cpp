#include "proxy/log/EventLog.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string_view>

namespace mustardshift::proxy {

namespace {

/** Longer values are cut, in bytes. Clients choose some of them, such as request ids. */
constexpr std::size_t kMaxValueSize = 256;

/** Whether a character could end the value or the line, or control a terminal. */
bool IsUnsafe(char aCharacter)
{
  const auto byte = static_cast<unsigned char>(aCharacter);
  return byte < 0x20 || byte == 0x7f || aCharacter == '"';
}

void AppendValue(std::string& aLine, std::string_view aValue)
{
  const bool isCut = aValue.size() > kMaxValueSize;
  const std::string_view shown = aValue.substr(0, kMaxValueSize);
  const bool needsQuotes = std::any_of(shown.begin(), shown.end(), [](char aCharacter) {
    return aCharacter == ' ' || IsUnsafe(aCharacter);
  });
  const std::string_view quote = needsQuotes ? "\"" : "";
  aLine.append(quote);
  std::replace_copy_if(shown.begin(), shown.end(), std::back_inserter(aLine), IsUnsafe, '\'');
  aLine.append(isCut ? "..." : "").append(quote);
}

} // namespace

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
    AppendValue(line, field.second);
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

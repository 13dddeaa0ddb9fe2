#pragma once

#include "adapters/log/Component.h"
#include "adapters/log/LogLevel.h"
#include "adapters/log/LogSink.h"

#include <string_view>

namespace mustardshift {

/** Writes log lines of one component, for example Log(Component::Failover).Info("..."). Messages
    are short sentences; they contain no keys and no values of statements.

    Thread safety: a value without state of its own; may be used from any thread. */
class Log
{
public:
  explicit Log(Component aComponent)
    : component(aComponent)
  {
  }

  /** Tells whether lines of this level are written; saves building a costly message. */
  bool IsOn(LogLevel aLevel) const { return IsLogLevelOn(aLevel); }

  /** Details for developers. */
  void Debug(std::string_view aMessage) const { this->Write(LogLevel::Debug, aMessage); }
  /** A change of state that an operator may want to know. */
  void Info(std::string_view aMessage) const { this->Write(LogLevel::Info, aMessage); }
  /** Service goes on, but something is out of order. */
  void Warning(std::string_view aMessage) const { this->Write(LogLevel::Warning, aMessage); }
  /** Something can't be done; an operator has to act. */
  void Error(std::string_view aMessage) const { this->Write(LogLevel::Error, aMessage); }

private:
  void Write(LogLevel aLevel, std::string_view aMessage) const
  {
    if (IsLogLevelOn(aLevel)) {
      WriteLogLine(this->component, aLevel, aMessage);
    }
  }

  Component component;
};

} // namespace mustardshift

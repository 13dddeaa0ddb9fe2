#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Severity of a log line, from the least severe upwards. */
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

inline constexpr std::array<std::pair<LogLevel, std::string_view>, 4> kLogLevelNames{ {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

} // namespace mustardshift

#include "adapters/log/LogSink.h"

#include "core/base/NameTable.h"

#include <easylogging++.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace mustardshift {

namespace {

std::atomic<LogLevel> minimumLevel{ LogLevel::Info };

/** Configures a logger of easylogging++ that prints each message as it is. The library's default
    would write a log file; the VMs have no disk. */
el::Logger* OpenLogger()
{
  el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
  el::Configurations configurations;
  configurations.setToDefault();
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configurations.setGlobally(el::ConfigurationType::Format, "%msg");
  el::Logger* logger = el::Loggers::getLogger("mustardshift");
  logger->configure(configurations);
  return logger;
}

std::string FormatTime(std::chrono::system_clock::time_point aTime)
{
  const auto sinceEpoch = aTime.time_since_epoch();
  const auto seconds = std::chrono::floor<std::chrono::seconds>(sinceEpoch);
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch - seconds).count();
  const std::time_t time = seconds.count();
  std::tm parts{};
  gmtime_r(&time, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(1000 + milliseconds);
  fraction[0] = '.';
  return std::string(text.data(), length) + fraction + "Z";
}

bool IsControl(char aCharacter)
{
  const auto code = static_cast<unsigned char>(aCharacter);
  return code < 0x20 || code == 0x7f;
}

} // namespace

void SetLogLevel(LogLevel aLevel)
{
  minimumLevel.store(aLevel, std::memory_order_relaxed);
}

bool IsLogLevelOn(LogLevel aLevel)
{
  return aLevel >= minimumLevel.load(std::memory_order_relaxed);
}

void WriteLogLine(Component aComponent, LogLevel aLevel, std::string_view aMessage)
{
  static el::Logger* const kLogger = OpenLogger();
  std::string line = FormatTime(std::chrono::system_clock::now());
  line.append(" ").append(NameOf(kLogLevelNames, aLevel));
  line.append(" ").append(NameOf(kComponentNames, aComponent)).append(": ");
  const std::size_t start = line.size();
  line.append(aMessage);
  std::replace_if(line.begin() + static_cast<std::ptrdiff_t>(start), line.end(), IsControl, ' ');
  // The level of easylogging++ has no effect: the line carries its level already.
  kLogger->info(line);
}

} // namespace mustardshift

#include "adapters/log/Log.h"
#include "adapters/settings/SessionSettingsReader.h"
#include "adapters/settings/SettingsReader.h"
#include "daemon/Daemon.h"
#include "platform/entry/PlatformDaemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>
#include <string>
#include <string_view>
#include <unistd.h>

ABSL_FLAG(std::string, settings, "", "path of the settings file, YAML");
ABSL_FLAG(std::string,
          session_settings,
          "",
          "path of the settings file, YAML, of a daemon that serves sessions on the platform");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitInvalidSettings = 2;

int ReportInvalidSettings(const mustardshift::InputErrors& aErrors)
{
  for (const mustardshift::InputError& error : aErrors) {
    std::cerr << error.ToString() << std::endl;
  }
  return kExitInvalidSettings;
}

int ReportValidSettings(const std::string& aPath)
{
  std::cout << aPath << ": the settings are right" << std::endl;
  return 0;
}

/** The environment variables of the process. */
mustardshift::SessionSettingsReader::Environment ReadEnvironment()
{
  mustardshift::SessionSettingsReader::Environment variables;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    const std::size_t equals = text.find('=');
    if (equals != std::string_view::npos) {
      variables.emplace(text.substr(0, equals), text.substr(equals + 1));
    }
  }
  return variables;
}

/** Serves sessions on the platform until a signal ends the process. */
int RunOnPlatform(const std::string& aPath)
{
  const auto environment = ReadEnvironment();
  const auto settings = mustardshift::SessionSettingsReader{}.ReadFile(aPath, environment);
  if (!settings) {
    return ReportInvalidSettings(settings.error());
  }
  if (absl::GetFlag(FLAGS_check)) {
    return ReportValidSettings(aPath);
  }
  const auto reload = [aPath, environment, present = *settings]() -> std::string {
    const auto read = mustardshift::SessionSettingsReader{}.ReadFile(aPath, environment);
    if (!read) {
      return read.error().empty() ? "unreadable" : read.error().front().ToString();
    }
    // Addresses and limits can't change while sessions are open, so new settings need a restart.
    return *read == present ? "unchanged" : "changed; in force after a restart";
  };
  const std::string error = mustardshift::proxy::platform::PlatformDaemon(*settings, reload).Run();
  if (!error.empty()) {
    std::cerr << "mustardshiftd: " << error << std::endl;
    return kExitFailed;
  }
  return 0;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Daemon of a mustardshift entry VM.\n"
    "Usage: mustardshiftd --settings=FILE [--check]\n"
    "       mustardshiftd --session_settings=FILE [--check]\n"
    "Exit codes: 0 stopped in order or settings are right, 1 could not start, 2 bad settings.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  const std::string sessionPath = absl::GetFlag(FLAGS_session_settings);
  if (!sessionPath.empty()) {
    return RunOnPlatform(sessionPath);
  }
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "mustardshiftd: --settings=FILE is required" << std::endl;
    return kExitInvalidSettings;
  }
  const auto settings = mustardshift::SettingsReader{}.ReadFile(path);
  if (!settings) {
    return ReportInvalidSettings(settings.error());
  }
  if (absl::GetFlag(FLAGS_check)) {
    return ReportValidSettings(path);
  }
  mustardshift::SetLogLevel(settings->logLevel);
  // Block the signals before any thread starts, so that only sigwait below receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  mustardshift::Daemon daemon(*settings);
  const auto started = daemon.Start();
  if (!started) {
    mustardshift::Log(mustardshift::Component::Daemon).Error(started.error());
    return kExitFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.Shutdown();
  return 0;
}

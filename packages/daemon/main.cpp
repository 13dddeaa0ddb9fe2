#include "adapters/log/Log.h"
#include "adapters/settings/SettingsReader.h"
#include "daemon/Daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, settings, "", "path of the settings file, YAML");
ABSL_FLAG(bool, check, false, "check the settings file and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Daemon of a mustardshift entry VM.\n"
    "Usage: mustardshiftd --settings=FILE [--check]\n"
    "Exit codes: 0 stopped in order or settings are right, 1 could not start, 2 bad settings.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    std::cerr << "mustardshiftd: --settings=FILE is required" << std::endl;
    return kExitBadSettings;
  }
  const auto settings = mustardshift::SettingsReader{}.ReadFile(path);
  if (!settings) {
    for (const mustardshift::InputError& error : settings.error()) {
      std::cerr << error.ToString() << std::endl;
    }
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << path << ": the settings are right" << std::endl;
    return 0;
  }
  mustardshift::SetLogLevel(settings->logLevel);
  // Blocked before any thread starts, so that only sigwait below sees them.
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

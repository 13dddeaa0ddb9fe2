#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <sys/types.h>

namespace review {

/** One process of mustardshiftd on a loopback address of its own, started with the command of the
    deploy file and the settings of its template. */
class Daemon
{
public:
  struct Settings
  {
    std::string name;
    std::string zone;
    /** Names of all zones. */
    std::string zones;
    std::string ip;
    /** "IP:port" of the platform's stand-in. */
    std::string platform;
    /** Folder for the settings file and the log. */
    std::string folder;
    std::size_t memoryMb = 260;
    std::size_t descriptors = 4300;
  };

  explicit Daemon(Settings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  /** SIGKILL. */
  void Kill();

  const std::string& Name() const { return this->settings.name; }
  const std::string& Ip() const { return this->settings.ip; }
  unsigned short FrontPort() const { return this->frontPort; }
  unsigned short ReadinessPort() const { return this->readinessPort; }
  std::size_t MemoryLimitMb() const { return this->settings.memoryMb; }

  /** Resident memory in MB, or 0 if the process is gone. */
  double ResidentMb() const;
  /** Whether a connection from this local port belongs to the process. */
  bool OwnsPort(unsigned short aPort) const;
  /** Whether the process has ended by itself. */
  bool HasEnded();

private:
  void WriteSettings(const std::string& aPath) const;

  Settings settings;
  unsigned short frontPort = 0;
  unsigned short readinessPort = 0;
  unsigned short peerPort = 0;
  unsigned short metricsPort = 0;
  pid_t pid = 0;
};

/** The value of TROUBLE: false for "0". */
bool HasTrouble();

} // namespace review

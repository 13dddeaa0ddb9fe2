#include "Daemon.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

namespace {

constexpr const char* kProgram = "target/packages/daemon/mustardshiftd";
constexpr const char* kTemplate = "deploy/vm.yaml";

/** Ports that were given out, so that none is given out twice. */
std::set<unsigned short>& GivenPorts()
{
  static std::set<unsigned short> given;
  return given;
}

/** A port that is free for TCP and UDP at the moment, below those that the system gives to outgoing
    connections. */
unsigned short FreePort(const std::string& aIp)
{
  constexpr unsigned kFirst = 12'000;
  constexpr unsigned kCount = 16'000;
  static unsigned next = static_cast<unsigned>(::getpid()) * 37;
  const auto ip = boost::asio::ip::make_address(aIp);
  for (;;) {
    const auto port = static_cast<unsigned short>(kFirst + next++ % kCount);
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket stream(io, boost::asio::ip::tcp::v4());
    boost::asio::ip::udp::socket datagrams(io, boost::asio::ip::udp::v4());
    boost::system::error_code streamError;
    boost::system::error_code datagramError;
    stream.bind({ ip, port }, streamError);
    datagrams.bind({ ip, port }, datagramError);
    if (!streamError && !datagramError && GivenPorts().insert(port).second) {
      return port;
    }
  }
}

void ReplaceAll(std::string& aText, const std::string& aWhat, const std::string& aBy)
{
  for (std::size_t at = aText.find(aWhat); at != std::string::npos; at = aText.find(aWhat, at)) {
    aText.replace(at, aWhat.size(), aBy);
    at += aBy.size();
  }
}

} // namespace

Daemon::Daemon(Settings aSettings)
  : settings(std::move(aSettings))
  , frontPort(FreePort(this->settings.ip))
  , readinessPort(FreePort(this->settings.ip))
  , peerPort(FreePort(this->settings.ip))
  , metricsPort(FreePort(this->settings.ip))
{
}

Daemon::~Daemon()
{
  this->Kill();
}

void Daemon::WriteSettings(const std::string& aPath) const
{
  std::ifstream file(kTemplate);
  std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  if (text.empty()) {
    throw std::runtime_error("the template of the settings can't be read");
  }
  const auto address = [this](unsigned short aPort) {
    return this->settings.ip + ":" + std::to_string(aPort);
  };
  const std::vector<std::pair<std::string, std::string>> values{
    { "{{node_name}}", this->settings.name },
    { "{{zone}}", this->settings.zone },
    { "{{#zones}}{{@}}{{,}}{{/zones}}", this->settings.zones },
    { "{{limits.cpu_share}}", "0.25" },
    { "{{listen.front}}", address(this->frontPort) },
    { "{{listen.readiness}}", address(this->readinessPort) },
    { "{{ip}}:{{port_range.0}}", address(this->peerPort) },
    { "{{ip}}:{{port_range.1}}", address(this->metricsPort) },
    { "{{platform.address}}", this->settings.platform },
    { "{{cloud.address}}", this->settings.platform },
    { "{{bounds.revoke_ms}}", "5000" },
    { "{{bounds.evacuate_ms}}", "5000" },
    { "{{bounds.grace_s}}", "6" },
    { "{{bounds.quota_window_s}}", "5" },
    { "{{bounds.quota_overshoot}}", "0.1" },
    { "{{bounds.quota_slack}}", "20" },
  };
  for (const auto& [placeholder, value] : values) {
    ReplaceAll(text, placeholder, value);
  }
  std::ofstream(aPath) << text;
}

void Daemon::Start()
{
  const std::string path = this->settings.folder + "/" + this->settings.name + ".yaml";
  const std::string log = this->settings.folder + "/" + this->settings.name + ".log";
  this->WriteSettings(path);
  const std::string argument = "--session_settings=" + path;
  const std::string memory =
    "MUSTARDSHIFT_MEMORY_LIMIT_MB=" + std::to_string(this->settings.memoryMb);
  const std::string descriptors =
    "MUSTARDSHIFT_DESCRIPTOR_LIMIT=" + std::to_string(this->settings.descriptors);
  const std::string file = "MUSTARDSHIFT_CONFIG=" + path;
  this->pid = ::fork();
  if (this->pid != 0) {
    return;
  }
  // The process ends with the case program, however that one ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(output, STDERR_FILENO);
  constexpr int kMostDescriptors = 20'000;
  for (int descriptor = STDERR_FILENO + 1; descriptor < kMostDescriptors; ++descriptor) {
    ::close(descriptor);
  }
  std::vector<char*> environment;
  for (const std::string* variable : { &memory, &descriptors, &file }) {
    environment.push_back(const_cast<char*>(variable->c_str()));
  }
  environment.push_back(nullptr);
  std::vector<char*> arguments{ const_cast<char*>(kProgram),
                                const_cast<char*>(argument.c_str()),
                                nullptr };
  ::execve(kProgram, arguments.data(), environment.data());
  ::_exit(127);
}

void Daemon::Kill()
{
  if (this->pid > 0) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
}

double Daemon::ResidentMb() const
{
  const std::string process = "/proc/" + std::to_string(this->pid);
  std::error_code error;
  if (std::filesystem::read_symlink(process + "/exe", error).filename() != "mustardshiftd") {
    // Not started, or still a copy of the case program.
    return 0;
  }
  std::ifstream file(process + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      constexpr double kKbPerMb = 1024;
      return std::stod(line.substr(6)) / kKbPerMb;
    }
  }
  return 0;
}

bool Daemon::OwnsPort(unsigned short aPort) const
{
  // Finds the connection's inode by its local port, and looks for it among the process's files.
  constexpr std::size_t kInodeField = 9;
  std::array<char, 8> port{};
  std::snprintf(port.data(), port.size(), ":%04X ", static_cast<unsigned>(aPort));
  std::ifstream connections("/proc/net/tcp");
  std::set<std::string> sockets;
  for (std::string line; std::getline(connections, line);) {
    const std::size_t local = line.find(port.data());
    if (local == std::string::npos || local != line.find(':', line.find(':') + 1)) {
      continue;
    }
    std::istringstream fields(line);
    std::string field;
    for (std::size_t index = 0; index <= kInodeField; ++index) {
      fields >> field;
    }
    sockets.insert("socket:[" + field + "]");
  }
  std::error_code error;
  const std::filesystem::path folder("/proc/" + std::to_string(this->pid) + "/fd");
  for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
    if (sockets.contains(std::filesystem::read_symlink(file.path(), error).string())) {
      return true;
    }
  }
  return false;
}

bool Daemon::HasEnded()
{
  if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->pid = 0;
  }
  return this->pid == 0;
}

bool HasTrouble()
{
  // The program has one thread.
  const char* value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe)
  return value == nullptr || std::string(value) != "0";
}

} // namespace review

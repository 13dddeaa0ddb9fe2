#include "adapters/settings/SettingsReader.h"

#include "adapters/settings/YamlMap.h"
#include "core/base/NameTable.h"

#include <map>

namespace mustardshift {

namespace {

using std::chrono::milliseconds;

Duration ReadMilliseconds(YamlMap& aMap,
                          const std::string& aKey,
                          std::uint64_t aLow,
                          std::uint64_t aHigh,
                          Duration aFallback)
{
  const auto fallback = std::chrono::duration_cast<milliseconds>(aFallback).count();
  return milliseconds(aMap.Integer(aKey, aLow, aHigh, static_cast<std::uint64_t>(fallback)));
}

Tunables ReadTunables(const YAML::Node& aNode, InputErrorCollector& aErrors)
{
  YamlMap map(aNode,
              "tunables",
              { "connection_open_ahead",
                "queue_limit",
                "request_timeout_ms",
                "transaction_timeout_ms",
                "shutdown_timeout_ms",
                "replica_wait_bound_ms",
                "rate_wait_bound_ms",
                "probe_interval_ms",
                "suspicion_timeout_ms",
                "configuration_poll_interval_ms",
                "slow_start_duration_ms" },
              aErrors);
  Tunables tunables;
  tunables.connectionOpenAhead = static_cast<std::uint32_t>(
    map.Integer("connection_open_ahead", 0, 1000, tunables.connectionOpenAhead));
  tunables.queueLimit =
    static_cast<std::uint32_t>(map.Integer("queue_limit", 1, 1'000'000, tunables.queueLimit));
  tunables.requestTimeout =
    ReadMilliseconds(map, "request_timeout_ms", 10, 600'000, tunables.requestTimeout);
  tunables.transactionTimeout =
    ReadMilliseconds(map, "transaction_timeout_ms", 10, 600'000, tunables.transactionTimeout);
  tunables.shutdownTimeout =
    ReadMilliseconds(map, "shutdown_timeout_ms", 10, 900'000, tunables.shutdownTimeout);
  tunables.replicaWaitBound =
    ReadMilliseconds(map, "replica_wait_bound_ms", 0, 10'000, tunables.replicaWaitBound);
  tunables.rateWaitBound =
    ReadMilliseconds(map, "rate_wait_bound_ms", 0, 10'000, tunables.rateWaitBound);
  tunables.probeInterval =
    ReadMilliseconds(map, "probe_interval_ms", 10, 10'000, tunables.probeInterval);
  tunables.suspicionTimeout =
    ReadMilliseconds(map, "suspicion_timeout_ms", 20, 60'000, tunables.suspicionTimeout);
  tunables.configurationPollInterval = ReadMilliseconds(
    map, "configuration_poll_interval_ms", 50, 2'000, tunables.configurationPollInterval);
  tunables.slowStartDuration =
    ReadMilliseconds(map, "slow_start_duration_ms", 0, 600'000, tunables.slowStartDuration);

  if (tunables.shutdownTimeout < tunables.transactionTimeout) {
    map.Report("shutdown_timeout_ms",
               FormatSpan(tunables.shutdownTimeout) + " is too short, expected at least " +
                 "transaction_timeout_ms (" + FormatSpan(tunables.transactionTimeout) +
                 "), so that a shutdown interrupts no transaction");
  }
  if (tunables.suspicionTimeout < 2 * tunables.probeInterval) {
    map.Report("suspicion_timeout_ms",
               FormatSpan(tunables.suspicionTimeout) + " is too short, expected at least twice " +
                 "probe_interval_ms (" + FormatSpan(tunables.probeInterval) +
                 "), so that one lost probe raises no suspicion");
  }
  return tunables;
}

std::vector<PeerSettings> ReadPeers(YamlMap& aTop,
                                    const DaemonSettings& aSettings,
                                    InputErrorCollector& aErrors)
{
  std::vector<PeerSettings> peers;
  std::map<std::string, std::string> vms{ { aSettings.vm.Text(), "this VM" } };
  std::map<std::string, std::string> addresses{ { aSettings.peerAddress, "this VM" } };
  for (const YAML::Node& node : aTop.List("peers", false)) {
    const std::string path = "peers[" + std::to_string(peers.size()) + "]";
    YamlMap map(node, path, { "vm", "address", "failure_domain" }, aErrors);
    PeerSettings peer;
    peer.vm = VmId(map.Identifier("vm"));
    peer.address = map.Address("address");
    peer.failureDomain = FailureDomainName(map.Identifier("failure_domain"));
    const auto vm = vms.try_emplace(peer.vm.Text(), path);
    if (!vm.second && !peer.vm.IsEmpty()) {
      map.Report("vm",
                 "\"" + peer.vm.Text() + "\" is the name of " + vm.first->second +
                   " already, expected a name of its own");
    }
    const auto address = addresses.try_emplace(peer.address, path);
    if (!address.second && !peer.address.empty()) {
      map.Report("address",
                 peer.address + " is the address of " + address.first->second +
                   " already, expected an address of its own");
    }
    peers.push_back(std::move(peer));
  }
  return peers;
}

void CheckOwnAddresses(YamlMap& aTop, const DaemonSettings& aSettings)
{
  std::map<std::string, std::string> keys;
  const std::vector<std::pair<std::string, std::string>> addresses{
    { "caller_address", aSettings.callerAddress },
    { "operator_address", aSettings.operatorAddress },
    { "peer_address", aSettings.peerAddress },
    { "metrics_address", aSettings.metricsAddress },
  };
  for (const auto& [key, address] : addresses) {
    const auto [position, isNew] = keys.try_emplace(address, key);
    if (!isNew && !address.empty()) {
      aTop.Report(key,
                  address + " is used by " + position->second +
                    " already, expected an address of its own");
    }
  }
}

} // namespace

tl::expected<DaemonSettings, InputErrors> SettingsReader::ReadFile(const std::string& aPath) const
{
  InputErrorCollector errors(aPath);
  const auto text = ReadTextFile(aPath, errors);
  if (!text.has_value()) {
    return tl::unexpected(errors.Take());
  }
  return this->ReadText(*text, aPath);
}

tl::expected<DaemonSettings, InputErrors> SettingsReader::ReadText(const std::string& aText,
                                                                   const std::string& aName) const
{
  InputErrorCollector errors(aName);
  const auto document = ParseYamlDocument(aText, errors);
  if (!document.has_value()) {
    return tl::unexpected(errors.Take());
  }
  YamlMap top(*document,
              "",
              { "vm",
                "failure_domain",
                "caller_address",
                "operator_address",
                "peer_address",
                "metrics_address",
                "platform_address",
                "peers",
                "tls",
                "log_level",
                "tunables" },
              errors);
  DaemonSettings settings;
  settings.vm = VmId(top.Identifier("vm"));
  settings.failureDomain = FailureDomainName(top.Identifier("failure_domain"));
  settings.callerAddress = top.Address("caller_address");
  settings.operatorAddress = top.Address("operator_address");
  settings.peerAddress = top.Address("peer_address");
  settings.metricsAddress = top.Address("metrics_address");
  settings.platformAddress = top.Address("platform_address");
  CheckOwnAddresses(top, settings);
  settings.peers = ReadPeers(top, settings, errors);
  if (top.Has("tls")) {
    YamlMap map(top.Value("tls"), "tls", { "certificate", "key", "ca" }, errors);
    settings.tls = TlsSettings{ map.Text("certificate"), map.Text("key"), map.Text("ca") };
  }
  const std::string level = top.Text("log_level", "info");
  const auto logLevel = ValueOf(kLogLevelNames, level);
  if (!logLevel.has_value()) {
    top.Report("log_level",
               "\"" + level.substr(0, 20) +
                 "\" is no level, expected debug, info, warning or error");
  }
  settings.logLevel = logLevel.value_or(LogLevel::Info);
  if (top.Has("tunables")) {
    settings.tunables = ReadTunables(top.Value("tunables"), errors);
  }
  if (!errors.IsEmpty()) {
    return tl::unexpected(errors.Take());
  }
  return settings;
}

} // namespace mustardshift

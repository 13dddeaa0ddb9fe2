#include "adapters/settings/SessionSettingsReader.h"

#include "adapters/settings/YamlMap.h"

#include <cctype>
#include <utility>
#include <vector>

namespace mustardshift {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** Bounds below this can't be kept with one confirmation a second. */
constexpr Duration kLeastBound = seconds(2);
/** Operations; more would be no limit. */
constexpr double kGreatestSlack = 10'000;
constexpr Duration kGreatestBound = minutes(10);
constexpr std::size_t kMaxFailureDomains = 100;
/** Cores. */
constexpr double kMinProcessorShare = 0.001;
constexpr double kMaxProcessorShare = 1024;
/** The name of the failure domain of a deployment that doesn't tell its domains apart. */
constexpr const char* kOnlyFailureDomain = "default";
/** Below this the process can't hold the sessions of a small VM. */
constexpr double kMinMemoryLimitMb = 32;
constexpr double kMaxMemoryLimitMb = 1 << 20;
constexpr std::uint64_t kMinDescriptorLimit = 64;
constexpr std::uint64_t kMaxDescriptorLimit = std::uint64_t(1) << 20;
/** KiB per second. */
constexpr std::uint64_t kMaxClientRateKb = 1 << 20;
/** A message of 1 MiB can set one variable. */
constexpr std::uint64_t kMinSessionStateKb = 1025;
constexpr std::uint64_t kMaxSessionStateKb = 1 << 20;
/** A result can be one row of 1 MiB. */
constexpr std::uint64_t kMinResultMb = 2;
constexpr std::uint64_t kMaxResultMb = 1 << 10;
constexpr std::uint64_t kMinDescriptorReserve = 16;
constexpr std::uint64_t kMinHttpConnections = 2;
constexpr std::uint64_t kMaxAttachedVms = 100'000;

const std::vector<std::string_view> kRequiredKeys{ "vm", "sessions_address", "store_address" };
const std::vector<std::string_view> kOptionalKeys{ "failure_domain",
                                                   "failure_domains",
                                                   "processor_share",
                                                   "readiness_address",
                                                   "peer_address",
                                                   "metrics_address",
                                                   "orders_address",
                                                   "withdrawn_key_bound",
                                                   "evacuation_bound",
                                                   "shutdown_grace",
                                                   "rate_window",
                                                   "rate_overshoot",
                                                   "rate_slack",
                                                   "usage_window",
                                                   "usage_deadline",
                                                   "usage_tolerance",
                                                   "memory_limit_mb",
                                                   "descriptor_limit",
                                                   "client_start_timeout",
                                                   "client_line_timeout",
                                                   "client_answer_timeout",
                                                   "client_progress_grace",
                                                   "client_min_rate_kb",
                                                   "session_state_limit_kb",
                                                   "result_limit_mb",
                                                   "descriptor_reserve",
                                                   "http_connection_limit",
                                                   "peer_connection_limit",
                                                   "http_request_timeout",
                                                   "http_idle_timeout",
                                                   "attached_vm_limit" };

std::vector<std::string_view> AllKeys()
{
  std::vector<std::string_view> keys = kRequiredKeys;
  keys.insert(keys.end(), kOptionalKeys.begin(), kOptionalKeys.end());
  return keys;
}

std::string EnvironmentName(std::string_view aKey)
{
  std::string name = SessionSettingsReader::kEnvironmentPrefix;
  for (const char character : aKey) {
    name += static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
  }
  return name;
}

/** Takes the optional settings that the file does not give from the environment. Returns the keys
    that neither gives. */
std::vector<std::string> AddFromEnvironment(YamlMap& aTop,
                                            const SessionSettingsReader::Environment& aEnvironment)
{
  std::vector<std::string> missing;
  for (const std::string_view key : kOptionalKeys) {
    const std::string name(key);
    if (!aTop.RemoveUnfilled(name)) {
      continue;
    }
    const auto variable = aEnvironment.find(EnvironmentName(key));
    if (variable != aEnvironment.end() && !IsUnfilled(variable->second)) {
      aTop.Add(name, variable->second);
    } else {
      missing.push_back(name);
    }
  }
  return missing;
}

std::string FormatNumber(double aValue)
{
  std::string text = std::to_string(aValue);
  text.erase(text.find_last_not_of('0') + 1);
  return text.back() == '.' ? text + "0" : text;
}

/** The value of an optional setting, for the log. */
std::string ValueOf(const SessionSettings& aSettings, const std::string& aKey)
{
  const std::map<std::string_view, std::string> values{
    { "failure_domain", aSettings.failureDomain.Text() },
    { "processor_share", FormatNumber(aSettings.processorShare) },
    { "withdrawn_key_bound", FormatSpan(aSettings.withdrawnKeyBound) },
    { "evacuation_bound", FormatSpan(aSettings.evacuationBound) },
    { "shutdown_grace", FormatSpan(aSettings.shutdownGrace) },
    { "rate_window", FormatSpan(aSettings.rateWindow) },
    { "rate_overshoot", FormatNumber(aSettings.rateOvershoot) },
    { "rate_slack", FormatNumber(aSettings.rateSlack) },
    { "usage_window", FormatSpan(aSettings.usageWindow) },
    { "usage_deadline", FormatSpan(aSettings.usageDeadline) },
    { "usage_tolerance", FormatNumber(aSettings.usageTolerance) },
    { "memory_limit_mb", std::to_string(aSettings.memoryLimitMb) },
    { "descriptor_limit", std::to_string(aSettings.descriptorLimit) },
    { "client_start_timeout", FormatSpan(aSettings.clientStartTimeout) },
    { "client_line_timeout", FormatSpan(aSettings.clientLineTimeout) },
    { "client_answer_timeout", FormatSpan(aSettings.clientAnswerTimeout) },
    { "client_progress_grace", FormatSpan(aSettings.clientProgressGrace) },
    { "client_min_rate_kb", std::to_string(aSettings.clientMinRateKb) },
    { "session_state_limit_kb", std::to_string(aSettings.sessionStateLimitKb) },
    { "result_limit_mb", std::to_string(aSettings.resultLimitMb) },
    { "descriptor_reserve", "derived" },
    { "http_connection_limit", "derived" },
    { "peer_connection_limit", "derived" },
    { "http_request_timeout", FormatSpan(aSettings.httpRequestTimeout) },
    { "http_idle_timeout", FormatSpan(aSettings.httpIdleTimeout) },
    { "attached_vm_limit", std::to_string(aSettings.attachedVmLimit) },
  };
  const auto value = values.find(aKey);
  return value == values.end() ? "none" : value->second;
}

void ReadClientLimits(YamlMap& aTop, SessionSettings& aSettings)
{
  aSettings.clientStartTimeout =
    aTop.Span("client_start_timeout", seconds(1), kGreatestBound, aSettings.clientStartTimeout);
  aSettings.clientLineTimeout =
    aTop.Span("client_line_timeout", seconds(1), kGreatestBound, aSettings.clientLineTimeout);
  aSettings.clientAnswerTimeout =
    aTop.Span("client_answer_timeout", seconds(1), kGreatestBound, aSettings.clientAnswerTimeout);
  aSettings.clientProgressGrace =
    aTop.Span("client_progress_grace", seconds(1), kGreatestBound, aSettings.clientProgressGrace);
  aSettings.clientMinRateKb =
    aTop.Integer("client_min_rate_kb", 1, kMaxClientRateKb, aSettings.clientMinRateKb);
  aSettings.sessionStateLimitKb = aTop.Integer("session_state_limit_kb",
                                               kMinSessionStateKb,
                                               kMaxSessionStateKb,
                                               aSettings.sessionStateLimitKb);
  aSettings.resultLimitMb =
    aTop.Integer("result_limit_mb", kMinResultMb, kMaxResultMb, aSettings.resultLimitMb);
}

void ReadPortLimits(YamlMap& aTop, SessionSettings& aSettings)
{
  if (aTop.Has("descriptor_reserve")) {
    aSettings.descriptorReserve =
      aTop.Integer("descriptor_reserve", kMinDescriptorReserve, kMaxDescriptorLimit, 0);
  }
  if (aTop.Has("http_connection_limit")) {
    aSettings.httpConnectionLimit =
      aTop.Integer("http_connection_limit", kMinHttpConnections, kMaxDescriptorLimit, 0);
  }
  if (aTop.Has("peer_connection_limit")) {
    aSettings.peerConnectionLimit =
      aTop.Integer("peer_connection_limit", kMinHttpConnections, kMaxDescriptorLimit, 0);
  }
  aSettings.httpRequestTimeout =
    aTop.Span("http_request_timeout", seconds(1), kGreatestBound, aSettings.httpRequestTimeout);
  aSettings.httpIdleTimeout =
    aTop.Span("http_idle_timeout", seconds(1), kGreatestBound, aSettings.httpIdleTimeout);
  aSettings.attachedVmLimit =
    aTop.Integer("attached_vm_limit", 1, kMaxAttachedVms, aSettings.attachedVmLimit);
}

} // namespace

tl::expected<SessionSettings, InputErrors> SessionSettingsReader::ReadFile(
  const std::string& aPath,
  const Environment& aEnvironment) const
{
  InputErrorCollector errors(aPath);
  const auto text = ReadTextFile(aPath, errors);
  if (!text.has_value()) {
    return tl::unexpected(errors.Take());
  }
  return this->ReadText(*text, aPath, aEnvironment);
}

tl::expected<SessionSettings, InputErrors> SessionSettingsReader::ReadText(
  const std::string& aText,
  const std::string& aName,
  const Environment& aEnvironment) const
{
  InputErrorCollector errors(aName);
  const auto document = ParseYamlDocument(aText, errors);
  if (!document.has_value()) {
    return tl::unexpected(errors.Take());
  }
  YamlMap top(*document, "", AllKeys(), errors);
  const std::vector<std::string> missingKeys = AddFromEnvironment(top, aEnvironment);
  SessionSettings settings;
  settings.vm = VmId(top.Identifier("vm"));
  settings.failureDomain = FailureDomainName(top.Identifier("failure_domain", kOnlyFailureDomain));
  for (const YAML::Node& domain : top.List("failure_domains", false, kMaxFailureDomains)) {
    settings.failureDomains.emplace_back(domain.as<std::string>(std::string()));
  }
  if (top.Has("processor_share")) {
    settings.processorShare = top.Number("processor_share", kMinProcessorShare, kMaxProcessorShare);
  }
  settings.sessionsAddress = top.Address("sessions_address");
  settings.readinessAddress = top.Address("readiness_address", std::string());
  settings.peerAddress = top.Address("peer_address", std::string());
  settings.metricsAddress = top.Address("metrics_address", std::string());
  settings.storeAddress = top.Address("store_address");
  settings.ordersAddress = top.Address("orders_address", std::string());
  settings.withdrawnKeyBound =
    top.Span("withdrawn_key_bound", kLeastBound, kGreatestBound, settings.withdrawnKeyBound);
  settings.evacuationBound =
    top.Span("evacuation_bound", kLeastBound, kGreatestBound, settings.evacuationBound);
  settings.shutdownGrace =
    top.Span("shutdown_grace", seconds(1), kGreatestBound, settings.shutdownGrace);
  settings.rateWindow = top.Span("rate_window", seconds(1), kGreatestBound, settings.rateWindow);
  if (top.Has("rate_overshoot")) {
    settings.rateOvershoot = top.Number("rate_overshoot", 0, 1);
  }
  if (top.Has("rate_slack")) {
    settings.rateSlack = top.Number("rate_slack", 0, kGreatestSlack);
  }
  settings.usageWindow = top.Span("usage_window", seconds(0), kGreatestBound, settings.usageWindow);
  settings.usageDeadline =
    top.Span("usage_deadline", seconds(1), kGreatestBound, settings.usageDeadline);
  if (top.Has("usage_tolerance")) {
    settings.usageTolerance = top.Number("usage_tolerance", 0, 1);
  }
  if (top.Has("memory_limit_mb")) {
    // A platform can state fractions of megabytes.
    settings.memoryLimitMb =
      static_cast<std::size_t>(top.Number("memory_limit_mb", kMinMemoryLimitMb, kMaxMemoryLimitMb));
  }
  settings.descriptorLimit = top.Integer(
    "descriptor_limit", kMinDescriptorLimit, kMaxDescriptorLimit, settings.descriptorLimit);
  ReadClientLimits(top, settings);
  ReadPortLimits(top, settings);
  InputErrors found = errors.Take();
  if (!found.empty()) {
    return tl::unexpected(std::move(found));
  }
  for (const std::string& key : missingKeys) {
    settings.defaulted.push_back({ key, ValueOf(settings, key) });
  }
  return settings;
}

} // namespace mustardshift

#include "adapters/settings/SessionSettingsReader.h"

#include "adapters/settings/YamlMap.h"

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

} // namespace

tl::expected<SessionSettings, InputErrors> SessionSettingsReader::ReadFile(
  const std::string& aPath) const
{
  InputErrorCollector errors(aPath);
  const auto text = ReadTextFile(aPath, errors);
  if (!text.has_value()) {
    return tl::unexpected(errors.Take());
  }
  return this->ReadText(*text, aPath);
}

tl::expected<SessionSettings, InputErrors> SessionSettingsReader::ReadText(
  const std::string& aText,
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
                "sessions_address",
                "readiness_address",
                "failure_domains",
                "processor_share",
                "peer_address",
                "metrics_address",
                "store_address",
                "orders_address",
                "withdrawn_key_bound",
                "evacuation_bound",
                "shutdown_grace",
                "rate_window",
                "rate_overshoot",
                "rate_slack" },
              errors);
  SessionSettings settings;
  settings.vm = VmId(top.Identifier("vm"));
  settings.failureDomain = FailureDomainName(top.Identifier("failure_domain"));
  for (const YAML::Node& domain : top.List("failure_domains", false, kMaxFailureDomains)) {
    settings.failureDomains.emplace_back(domain.as<std::string>(std::string()));
  }
  if (top.Has("processor_share")) {
    settings.processorShare = top.Number("processor_share", kMinProcessorShare, kMaxProcessorShare);
  }
  settings.sessionsAddress = top.Address("sessions_address");
  settings.readinessAddress = top.Address("readiness_address");
  settings.peerAddress = top.Address("peer_address", std::string());
  settings.metricsAddress = top.Address("metrics_address", std::string());
  settings.storeAddress = top.Address("store_address");
  settings.ordersAddress = top.Address("orders_address");
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
  InputErrors found = errors.Take();
  if (!found.empty()) {
    return tl::unexpected(std::move(found));
  }
  return settings;
}

} // namespace mustardshift

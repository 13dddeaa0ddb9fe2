#include "ctl/CtlReport.h"

#include "core/base/NameTable.h"

#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace mustardshift {

namespace {

using Json = nlohmann::ordered_json;

/** Writes JSON; bytes that are no UTF-8 are replaced instead of raising an exception. */
std::string Dump(const Json& aValue)
{
  return aValue.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string YesOrNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string FormatTable(const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::string cell = row[i];
      cell.resize(widths[i] + 2, ' ');
      line += cell;
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + "\n";
  }
  return text;
}

} // namespace

std::string FormatReport(const CtlReport& aReport, OutputFormat aFormat)
{
  const std::string name(NameOf(kExitCodeNames, aReport.code));
  if (aFormat == OutputFormat::Json) {
    Json json{ { "result", name },
               { "exit_code", static_cast<int>(aReport.code) },
               { "message", aReport.message },
               { "version", aReport.version },
               { "confirmed_by", aReport.confirmedBy },
               { "unconfirmed", aReport.unconfirmed },
               { "in_force_within_ms", aReport.inForceWithinMilliseconds },
               { "operation_id", aReport.operationId } };
    if (!aReport.key.empty()) {
      json["key"] = aReport.key;
    }
    return Dump(json);
  }
  std::string text = name;
  text += aReport.message.empty() ? "" : ": " + aReport.message;
  text += "\n";
  if (aReport.version > 0) {
    text += "version: " + std::to_string(aReport.version) + "\n";
  }
  if (!aReport.confirmedBy.empty()) {
    text += "confirmed by: " + absl::StrJoin(aReport.confirmedBy, ", ") + "\n";
  }
  if (!aReport.unconfirmed.empty()) {
    text += "not confirmed by: " + absl::StrJoin(aReport.unconfirmed, ", ") +
            "; these stop serving key-protected routes within " +
            std::to_string(aReport.inForceWithinMilliseconds) + " ms unless they confirm\n";
  }
  if (!aReport.key.empty()) {
    text += "key: " + aReport.key + "\n";
  }
  return text;
}

std::string FormatSchema(const operators::v1::ShowSchemaResponse& aResponse, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    return Dump(Json{ { "version", aResponse.version() }, { "schema", aResponse.schema() } });
  }
  std::string text = "# version " + std::to_string(aResponse.version()) + "\n" + aResponse.schema();
  text += text.back() == '\n' ? "" : "\n";
  return text;
}

std::string FormatStatus(const operators::v1::StatusResponse& aResponse, OutputFormat aFormat)
{
  if (aFormat == OutputFormat::Json) {
    Json vms = Json::array();
    for (const auto& vm : aResponse.vms()) {
      vms.push_back({ { "id", vm.id() },
                      { "address", vm.address() },
                      { "failure_domain", vm.failure_domain() },
                      { "reachable", vm.reachable() },
                      { "configuration_version", vm.configuration_version() },
                      { "draining", vm.draining() } });
    }
    Json databases = Json::array();
    for (const auto& database : aResponse.databases()) {
      databases.push_back({ { "name", database.name() },
                            { "term", database.term() },
                            { "primary", database.primary() },
                            { "in_service", database.in_service() } });
    }
    Json drained = Json::array();
    for (const auto& name : aResponse.drained_failure_domains()) {
      drained.push_back(name);
    }
    return Dump(Json{ { "vm", aResponse.vm() },
                      { "configuration_version", aResponse.configuration_version() },
                      { "configuration_trusted", aResponse.configuration_trusted() },
                      { "platform_reachable", aResponse.platform_reachable() },
                      { "held_quota_shards", aResponse.held_quota_shards() },
                      { "vms", vms },
                      { "databases", databases },
                      { "drained_failure_domains", drained } });
  }
  std::string text =
    FormatTable({ { "vm:", aResponse.vm() },
                  { "configuration version:", std::to_string(aResponse.configuration_version()) },
                  { "configuration trusted:", YesOrNo(aResponse.configuration_trusted()) },
                  { "platform reachable:", YesOrNo(aResponse.platform_reachable()) },
                  { "held quota shards:", std::to_string(aResponse.held_quota_shards()) },
                  { "drained failure domains:",
                    aResponse.drained_failure_domains().empty()
                      ? "none"
                      : absl::StrJoin(aResponse.drained_failure_domains(), ", ") } });
  std::vector<std::vector<std::string>> vms{
    { "VM", "ADDRESS", "FAILURE DOMAIN", "REACHABLE", "VERSION", "DRAINING" }
  };
  for (const auto& vm : aResponse.vms()) {
    vms.push_back({ vm.id(),
                    vm.address(),
                    vm.failure_domain(),
                    YesOrNo(vm.reachable()),
                    std::to_string(vm.configuration_version()),
                    YesOrNo(vm.draining()) });
  }
  std::vector<std::vector<std::string>> databases{
    { "DATABASE", "TERM", "PRIMARY", "IN SERVICE" }
  };
  for (const auto& database : aResponse.databases()) {
    databases.push_back({ database.name(),
                          std::to_string(database.term()),
                          database.primary(),
                          YesOrNo(database.in_service()) });
  }
  return text + "\n" + FormatTable(vms) + "\n" + FormatTable(databases);
}

} // namespace mustardshift

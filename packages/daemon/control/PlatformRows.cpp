#include "daemon/control/PlatformRows.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace mustardshift {

namespace {

using nlohmann::json;

std::string EncodeCbor(const json& aValue)
{
  const std::vector<std::uint8_t> bytes = json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

/** Decodes a CBOR row value and returns what aReader extracts from it. Returns nullopt if the value
    is malformed, or a field is missing or has another type. */
template<class Reader>
auto DecodeCbor(std::string_view aBytes, Reader aReader)
  -> std::optional<decltype(aReader(std::declval<const json&>()))>
{
  const std::optional<json> content = ParseBoundedCbor(aBytes);
  if (!content) {
    return std::nullopt;
  }
  try {
    return aReader(*content);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace

std::string ChangeKey(std::uint64_t aVersion)
{
  return std::string(kChangePrefix) + std::to_string(aVersion);
}

std::string SnapshotName(std::uint64_t aVersion)
{
  return "configuration-" + std::to_string(aVersion);
}

std::string DatabaseKey(const DatabaseName& aDatabase)
{
  return std::string(kDatabasePrefix) + aDatabase.Text();
}

std::string ShardKey(QuotaShardId aShard)
{
  return std::string(kShardPrefix) + std::to_string(aShard.index);
}

std::string VmKey(const VmId& aVm)
{
  return std::string(kVmPrefix) + aVm.Text();
}

std::string EncodeNumber(std::uint64_t aNumber)
{
  return std::to_string(aNumber);
}

std::optional<std::uint64_t> DecodeNumber(std::string_view aValue)
{
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(aValue.data(), aValue.data() + aValue.size(), number);
  if (error != std::errc{} || end != aValue.data() + aValue.size()) {
    return std::nullopt;
  }
  return number;
}

std::string EncodeDatabaseRow(const DatabaseRow& aRow)
{
  return EncodeCbor(json{
    { "term", aRow.term }, { "primary", aRow.primary.Text() }, { "operation", aRow.operationId } });
}

std::optional<DatabaseRow> DecodeDatabaseRow(std::string_view aValue)
{
  return DecodeCbor(aValue, [](const json& aContent) {
    return DatabaseRow{ IntegerOf<std::uint64_t>(aContent.at("term")),
                        ServerAddress(aContent.at("primary").get<std::string>()),
                        aContent.at("operation").get<std::string>() };
  });
}

std::string EncodeVmRow(const VmRow& aRow)
{
  return EncodeCbor(json{ { "incarnation", aRow.incarnation },
                          { "caller", aRow.callerAddress },
                          { "operator", aRow.operatorAddress },
                          { "peer", aRow.peerAddress },
                          { "failure_domain", aRow.failureDomain.Text() } });
}

std::optional<VmRow> DecodeVmRow(std::string_view aValue)
{
  return DecodeCbor(aValue, [](const json& aContent) {
    return VmRow{ IntegerOf<std::uint64_t>(aContent.at("incarnation")),
                  aContent.at("caller").get<std::string>(),
                  aContent.at("operator").get<std::string>(),
                  aContent.at("peer").get<std::string>(),
                  FailureDomainName(aContent.at("failure_domain").get<std::string>()) };
  });
}

std::string EncodeShardWrite(const QuotaShardWrite& aWrite)
{
  return EncodeCbor(json{ { "holder", aWrite.holder.Text() },
                          { "incarnation", aWrite.incarnation },
                          { "operation", aWrite.operation } });
}

std::optional<QuotaShardRow> DecodeShardRow(const TableRow& aRow)
{
  if (!aRow.key.starts_with(kShardPrefix)) {
    return std::nullopt;
  }
  const auto index = DecodeNumber(std::string_view(aRow.key).substr(kShardPrefix.size()));
  if (!index || *index >= kQuotaShardsPerCell) {
    return std::nullopt;
  }
  return DecodeCbor(aRow.value, [&](const json& aContent) {
    QuotaShardRow row;
    row.shard = { static_cast<std::uint8_t>(*index) };
    row.holder = VmId(aContent.at("holder").get<std::string>());
    row.incarnation = IntegerOf<std::uint64_t>(aContent.at("incarnation"));
    row.operation = IntegerOf<std::uint64_t>(aContent.at("operation"));
    row.version = aRow.version;
    return row;
  });
}

} // namespace mustardshift

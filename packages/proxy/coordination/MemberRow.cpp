#include "proxy/coordination/MemberRow.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

namespace {

/** Latest store time that a row may state, in milliseconds; sums with it do not overflow. */
constexpr std::int64_t kMaxStoreTimeMs = std::int64_t{ 1 } << 52;

} // namespace

std::string EncodeMemberRow(const MemberRow& aRow)
{
  nlohmann::json demand = nlohmann::json::object();
  for (const auto& [organisation, rate] : aRow.demand) {
    // Tenths are precise enough and take fewer bytes than a floating-point number.
    const auto tenths = static_cast<std::uint32_t>(
      std::clamp(rate * 10, 0.0, double{ std::numeric_limits<std::uint32_t>::max() }));
    if (tenths > 0) {
      demand[organisation.Text()] = tenths;
    }
  }
  nlohmann::json unreachable = nlohmann::json::array();
  for (const ServerId& server : aRow.unreachablePrimaries) {
    unreachable.push_back(server.Text());
  }
  nlohmann::json value{ { "sequence", aRow.sequence },
                        { "sent_by", aRow.latestSendTime.count() },
                        { "domain", aRow.domain.Text() },
                        { "peer", aRow.peerAddress },
                        { "allocation", aRow.allocationVersion },
                        { "demand", std::move(demand) },
                        { "unreachable", std::move(unreachable) },
                        { "attached", aRow.attachedVms } };
  if (aRow.era != 0) {
    value["era"] = aRow.era;
    value["configuration"] = aRow.configurationVersion;
  }
  return ToCbor(value);
}

std::optional<MemberRow> DecodeMemberRow(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    MemberRow row;
    row.sequence = IntegerOf<std::uint64_t>(value->at("sequence"));
    if (value->contains("sent_by")) {
      row.latestSendTime = std::chrono::milliseconds(
        IntegerOf<std::int64_t>(value->at("sent_by"), 0, kMaxStoreTimeMs));
    }
    row.domain = FailureDomainName(value->value("domain", std::string()));
    row.peerAddress = value->at("peer").get<std::string>();
    row.allocationVersion = IntegerOf<std::uint64_t>(value->at("allocation"));
    for (const auto& [organisation, tenths] : value->at("demand").items()) {
      row.demand[OrganisationName(organisation)] =
        DoubleOf(tenths, 0, std::numeric_limits<std::uint32_t>::max()) / 10;
    }
    for (const auto& server : value->at("unreachable")) {
      row.unreachablePrimaries.insert(ServerId(server.get<std::string>()));
    }
    if (value->contains("attached")) {
      row.attachedVms = IntegerOf<std::uint32_t>(value->at("attached"));
    }
    if (value->contains("era")) {
      row.era = IntegerOf<std::uint64_t>(value->at("era"));
      row.configurationVersion = IntegerOf<std::uint64_t>(value->at("configuration"));
    }
    return row;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

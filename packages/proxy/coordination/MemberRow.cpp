#include "proxy/coordination/MemberRow.h"

#include "core/base/BoundedCbor.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

std::string EncodeMemberRow(const MemberRow& aRow)
{
  nlohmann::json demand = nlohmann::json::object();
  for (const auto& [organisation, rate] : aRow.demand) {
    // Tenths are precise enough and take fewer bytes than a floating-point number.
    const auto tenths = static_cast<std::uint32_t>(rate * 10);
    if (tenths > 0) {
      demand[organisation.Text()] = tenths;
    }
  }
  nlohmann::json unreachable = nlohmann::json::array();
  for (const ServerId& server : aRow.unreachablePrimaries) {
    unreachable.push_back(server.Text());
  }
  return ToCbor({ { "sequence", aRow.sequence },
                  { "sent_by", aRow.latestSendTime.count() },
                  { "domain", aRow.domain.Text() },
                  { "peer", aRow.peerAddress },
                  { "allocation", aRow.allocationVersion },
                  { "demand", std::move(demand) },
                  { "unreachable", std::move(unreachable) } });
}

std::optional<MemberRow> DecodeMemberRow(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    MemberRow row;
    row.sequence = value->at("sequence").get<std::uint64_t>();
    row.latestSendTime = std::chrono::milliseconds(value->value("sent_by", std::int64_t{ 0 }));
    row.domain = FailureDomainName(value->value("domain", std::string()));
    row.peerAddress = value->at("peer").get<std::string>();
    row.allocationVersion = value->at("allocation").get<std::uint64_t>();
    for (const auto& [organisation, tenths] : value->at("demand").items()) {
      row.demand[OrganisationName(organisation)] = tenths.get<double>() / 10;
    }
    for (const auto& server : value->at("unreachable")) {
      row.unreachablePrimaries.insert(ServerId(server.get<std::string>()));
    }
    return row;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

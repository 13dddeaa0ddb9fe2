#include "proxy/rate/RateAllocation.h"

#include "core/base/BoundedCbor.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

std::uint32_t RateAllocation::PartsOf(const OrganisationName& aOrganisation, const VmId& aVm) const
{
  const auto organisation = this->shares.find(aOrganisation);
  if (organisation == this->shares.end()) {
    return 0;
  }
  const auto share = organisation->second.find(aVm);
  return share == organisation->second.end() ? 0 : share->second.parts;
}

std::string EncodeRateAllocation(const RateAllocation& aAllocation)
{
  nlohmann::json organisations = nlohmann::json::object();
  for (const auto& [organisation, shares] : aAllocation.shares) {
    nlohmann::json list = nlohmann::json::object();
    for (const auto& [vm, share] : shares) {
      list[vm.Text()] =
        nlohmann::json::array({ share.parts, share.reservedParts, share.changedInVersion });
    }
    organisations[organisation.Text()] = std::move(list);
  }
  return ToCbor({ { "version", aAllocation.version }, { "shares", std::move(organisations) } });
}

std::optional<RateAllocation> DecodeRateAllocation(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    RateAllocation allocation;
    allocation.version = value->at("version").get<std::uint64_t>();
    for (const auto& [organisation, list] : value->at("shares").items()) {
      auto& shares = allocation.shares[OrganisationName(organisation)];
      for (const auto& [vm, entry] : list.items()) {
        shares[VmId(vm)] = RateShare{ entry.at(0).get<std::uint32_t>(),
                                      entry.at(1).get<std::uint32_t>(),
                                      entry.at(2).get<std::uint64_t>() };
      }
    }
    return allocation;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

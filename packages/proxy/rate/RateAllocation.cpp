#include "proxy/rate/RateAllocation.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <algorithm>
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

RateAllocation LimitShares(const RateAllocation& aAllocation,
                           const RateAllocation& aLimit,
                           const VmId& aVm)
{
  RateAllocation limited = aAllocation;
  for (auto& [organisation, shares] : limited.shares) {
    const auto share = shares.find(aVm);
    if (share != shares.end()) {
      share->second.parts = std::min(share->second.parts, aLimit.PartsOf(organisation, aVm));
    }
  }
  return limited;
}

std::string EncodeRateAllocation(const RateAllocation& aAllocation)
{
  // Each VM's name is stored once, since the row has a limited size.
  std::map<VmId, std::size_t> indices;
  for (const auto& [organisation, shares] : aAllocation.shares) {
    for (const auto& [vm, share] : shares) {
      indices.try_emplace(vm);
    }
  }
  nlohmann::json names = nlohmann::json::array();
  for (auto& [vm, index] : indices) {
    index = names.size();
    names.push_back(vm.Text());
  }
  nlohmann::json organisations = nlohmann::json::object();
  for (const auto& [organisation, shares] : aAllocation.shares) {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [vm, share] : shares) {
      nlohmann::json entry = nlohmann::json::array({ indices.at(vm), share.parts });
      // The version of the change matters only until the holder has confirmed it.
      if (share.reservedParts != share.parts) {
        entry.push_back(share.reservedParts);
        entry.push_back(share.changedInVersion);
      }
      list.push_back(std::move(entry));
    }
    organisations[organisation.Text()] = std::move(list);
  }
  return ToCbor({ { "version", aAllocation.version },
                  { "vms", std::move(names) },
                  { "shares", std::move(organisations) } });
}

std::optional<RateAllocation> DecodeRateAllocation(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    RateAllocation allocation;
    allocation.version = IntegerOf<std::uint64_t>(value->at("version"));
    for (const auto& [organisation, list] : value->at("shares").items()) {
      auto& shares = allocation.shares[OrganisationName(organisation)];
      // Written by releases that did not store the names of the VMs apart.
      if (list.is_object()) {
        for (const auto& [vm, entry] : list.items()) {
          shares[VmId(vm)] = RateShare{ IntegerOf<std::uint32_t>(entry.at(0), 0, kRateParts),
                                        IntegerOf<std::uint32_t>(entry.at(1), 0, kRateParts),
                                        IntegerOf<std::uint64_t>(entry.at(2)) };
        }
        continue;
      }
      for (const auto& entry : list) {
        const auto index = IntegerOf<std::size_t>(entry.at(0));
        const auto parts = IntegerOf<std::uint32_t>(entry.at(1), 0, kRateParts);
        const bool isConfirmed = entry.size() == 2;
        shares[VmId(value->at("vms").at(index).get<std::string>())] =
          RateShare{ parts,
                     isConfirmed ? parts : IntegerOf<std::uint32_t>(entry.at(2), 0, kRateParts),
                     isConfirmed ? 0 : IntegerOf<std::uint64_t>(entry.at(3)) };
      }
    }
    return allocation;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

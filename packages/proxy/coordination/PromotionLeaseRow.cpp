#include "proxy/coordination/PromotionLeaseRow.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

std::optional<std::uint64_t> FencingTokenOf(StoreVersion aVersion)
{
  if (aVersion.era >> kFencingEraBits != 0 || aVersion.number >> kFencingNumberBits != 0) {
    return std::nullopt;
  }
  return (aVersion.era << kFencingNumberBits) | aVersion.number;
}

std::string EncodePromotionLeaseRow(const PromotionLeaseRow& aRow)
{
  return ToCbor({ { "holder", aRow.holder.Text() }, { "fence", aRow.fencingToken } });
}

std::optional<PromotionLeaseRow> DecodePromotionLeaseRow(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    return PromotionLeaseRow{ VmId(value->at("holder").get<std::string>()),
                              IntegerOf<std::uint64_t>(value->at("fence")) };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

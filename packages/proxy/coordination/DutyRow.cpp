#include "proxy/coordination/DutyRow.h"

#include "core/base/BoundedCbor.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

std::string EncodeDutyRow(const DutyRow& aRow)
{
  return ToCbor({ { "holder", aRow.holder.Text() }, { "fence", aRow.fence } });
}

std::optional<DutyRow> DecodeDutyRow(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    return DutyRow{ VmId(value->at("holder").get<std::string>()),
                    value->at("fence").get<std::uint64_t>() };
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

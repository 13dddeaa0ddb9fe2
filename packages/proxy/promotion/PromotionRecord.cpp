#include "proxy/promotion/PromotionRecord.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

std::string EncodePromotionRecord(const PromotionRecord& aRecord)
{
  return ToCbor({ { "primary", aRecord.primary.Text() },
                  { "term", aRecord.term },
                  { "open", aRecord.isOrderOpen } });
}

std::optional<PromotionRecord> DecodePromotionRecord(std::string_view aBytes)
{
  const std::optional<nlohmann::json> value = ParseBoundedCbor(aBytes);
  if (!value) {
    return std::nullopt;
  }
  try {
    PromotionRecord record;
    record.primary = ServerId(value->at("primary").get<std::string>());
    record.term = IntegerOf<std::uint64_t>(value->at("term"));
    record.isOrderOpen = value->at("open").get<bool>();
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

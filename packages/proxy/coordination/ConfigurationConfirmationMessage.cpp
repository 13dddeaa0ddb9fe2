#include "proxy/coordination/ConfigurationConfirmationMessage.h"

#include "core/base/BoundedCbor.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

namespace {

using nlohmann::json;

json ToJson(const ConfigurationConfirmationRequest& aRequest)
{
  return { { "confirm_to", aRequest.sender.Text() },
           { "incarnation", aRequest.incarnation },
           { "number", aRequest.number } };
}

json ToJson(const ConfigurationConfirmationAnswer& aAnswer)
{
  return { { "digest", aAnswer.digest },
           { "confirmed_us", aAnswer.age.count() },
           { "incarnation", aAnswer.incarnation },
           { "number", aAnswer.number } };
}

} // namespace

std::string EncodeConfigurationConfirmationMessage(const ConfigurationConfirmationMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return ToCbor(ToJson(aPart)); }, aMessage);
}

std::optional<ConfigurationConfirmationMessage> DecodeConfigurationConfirmationMessage(
  std::string_view aBytes)
{
  const std::optional<json> value = ParseBoundedCbor(aBytes);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  try {
    const auto incarnation = value->at("incarnation").get<std::uint64_t>();
    const auto number = value->at("number").get<std::uint64_t>();
    if (value->contains("confirm_to")) {
      return ConfigurationConfirmationRequest{ VmId(value->at("confirm_to").get<std::string>()),
                                               incarnation,
                                               number };
    }
    const json& age = value->at("confirmed_us");
    if (!age.is_number_unsigned()) {
      return std::nullopt;
    }
    return ConfigurationConfirmationAnswer{ incarnation,
                                            number,
                                            value->at("digest").get<std::uint64_t>(),
                                            Duration(age.get<std::int64_t>()) };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

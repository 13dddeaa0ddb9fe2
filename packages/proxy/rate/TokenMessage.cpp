#include "proxy/rate/TokenMessage.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

namespace {

using nlohmann::json;

json ToJson(const TokenRequest& aRequest)
{
  return {
    { "ask", aRequest.wantedCount },       { "vm", aRequest.sender.Text() },
    { "reply_to", aRequest.replyAddress }, { "incarnation", aRequest.incarnation },
    { "number", aRequest.requestNumber },  { "organisation", aRequest.organisation.Text() }
  };
}

json ToJson(const TokenGrant& aGrant)
{
  return { { "grant", aGrant.count },
           { "vm", aGrant.sender.Text() },
           { "incarnation", aGrant.incarnation },
           { "number", aGrant.requestNumber } };
}

} // namespace

std::string EncodeTokenMessage(const TokenMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return ToCbor(ToJson(aPart)); }, aMessage);
}

std::optional<TokenMessage> DecodeTokenMessage(std::string_view aBytes)
{
  const std::optional<json> value = ParseBoundedCbor(aBytes);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  try {
    const VmId sender(value->at("vm").get<std::string>());
    const auto incarnation = IntegerOf<std::uint64_t>(value->at("incarnation"));
    const auto requestNumber = IntegerOf<std::uint64_t>(value->at("number"));
    if (value->contains("ask")) {
      return TokenRequest{ sender,
                           value->at("reply_to").get<std::string>(),
                           incarnation,
                           requestNumber,
                           OrganisationName(value->at("organisation").get<std::string>()),
                           IntegerOf<std::uint32_t>(value->at("ask")) };
    }
    return TokenGrant{
      sender, incarnation, requestNumber, IntegerOf<std::uint32_t>(value->at("grant"))
    };
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

#include "proxy/promotion/DemotionMessage.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

namespace {

using nlohmann::json;

json ToJson(const DemotionRequest& aRequest)
{
  return { { "demote", aRequest.primary.Text() },
           { "group", aRequest.group.Text() },
           { "term", aRequest.term },
           { "reply_to", aRequest.replyAddress },
           { "incarnation", aRequest.incarnation },
           { "number", aRequest.number },
           { "forward", aRequest.isForwarded },
           { "candidate", aRequest.isCandidate } };
}

json ToJson(const DemotionAnswer& aAnswer)
{
  return { { "demoted", aAnswer.isDemoted },
           { "vm", aAnswer.sender.Text() },
           { "incarnation", aAnswer.incarnation },
           { "number", aAnswer.number } };
}

DemotionRequest DecodeRequest(const json& aValue)
{
  DemotionRequest request;
  request.primary = ServerId(aValue.at("demote").get<std::string>());
  request.group = DatabaseName(aValue.at("group").get<std::string>());
  request.term = IntegerOf<std::uint64_t>(aValue.at("term"));
  request.replyAddress = aValue.at("reply_to").get<std::string>();
  request.incarnation = IntegerOf<std::uint64_t>(aValue.at("incarnation"));
  request.number = IntegerOf<std::uint64_t>(aValue.at("number"));
  request.isForwarded = aValue.at("forward").get<bool>();
  // Earlier versions don't send it.
  request.isCandidate = aValue.contains("candidate") && aValue["candidate"].get<bool>();
  return request;
}

DemotionAnswer DecodeAnswer(const json& aValue)
{
  DemotionAnswer answer;
  answer.isDemoted = aValue.at("demoted").get<bool>();
  answer.sender = VmId(aValue.at("vm").get<std::string>());
  answer.incarnation = IntegerOf<std::uint64_t>(aValue.at("incarnation"));
  answer.number = IntegerOf<std::uint64_t>(aValue.at("number"));
  return answer;
}

} // namespace

std::string EncodeDemotionMessage(const DemotionMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return ToCbor(ToJson(aPart)); }, aMessage);
}

std::optional<DemotionMessage> DecodeDemotionMessage(std::string_view aBytes)
{
  const std::optional<json> value = ParseBoundedCbor(aBytes);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  try {
    if (value->contains("demote")) {
      return DecodeRequest(*value);
    }
    return DecodeAnswer(*value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

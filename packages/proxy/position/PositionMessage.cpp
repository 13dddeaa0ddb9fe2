#include "proxy/position/PositionMessage.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

namespace {

using nlohmann::json;

json ToJson(const PositionRequest& aRequest)
{
  json groups = json::array();
  for (const DatabaseName& group : aRequest.groups) {
    groups.push_back(group.Text());
  }
  return { { "positions_of", std::move(groups) },
           { "vm", aRequest.sender.Text() },
           { "reply_to", aRequest.replyAddress },
           { "incarnation", aRequest.incarnation },
           { "number", aRequest.number } };
}

json ToJson(const PositionAnswer& aAnswer)
{
  json positions = json::array();
  for (const GroupPosition& entry : aAnswer.positions) {
    positions.push_back(
      { entry.group.Text(), entry.position.term, entry.position.offset, entry.age.count() });
  }
  return { { "positions", std::move(positions) },
           { "incarnation", aAnswer.incarnation },
           { "number", aAnswer.number } };
}

PositionRequest DecodeRequest(const json& aValue)
{
  PositionRequest request;
  request.sender = VmId(aValue.at("vm").get<std::string>());
  request.replyAddress = aValue.at("reply_to").get<std::string>();
  request.incarnation = IntegerOf<std::uint64_t>(aValue.at("incarnation"));
  request.number = IntegerOf<std::uint64_t>(aValue.at("number"));
  for (const json& group : aValue.at("positions_of")) {
    request.groups.emplace_back(group.get<std::string>());
  }
  return request;
}

PositionAnswer DecodeAnswer(const json& aValue)
{
  PositionAnswer answer;
  answer.incarnation = IntegerOf<std::uint64_t>(aValue.at("incarnation"));
  answer.number = IntegerOf<std::uint64_t>(aValue.at("number"));
  for (const json& entry : aValue.at("positions")) {
    // A negative age would date a position into the future.
    answer.positions.push_back(
      { DatabaseName(entry.at(0).get<std::string>()),
        { IntegerOf<std::uint64_t>(entry.at(1)), IntegerOf<std::uint64_t>(entry.at(2)) },
        Duration(IntegerOf<std::int64_t>(entry.at(3), 0)) });
  }
  return answer;
}

} // namespace

std::string EncodePositionMessage(const PositionMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return ToCbor(ToJson(aPart)); }, aMessage);
}

std::optional<PositionMessage> DecodePositionMessage(std::string_view aBytes)
{
  const std::optional<json> value = ParseBoundedCbor(aBytes);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  try {
    if (value->contains("positions_of")) {
      return DecodeRequest(*value);
    }
    return DecodeAnswer(*value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

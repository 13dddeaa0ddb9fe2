#include "proxy/coordination/AttachmentMessage.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <nlohmann/json.hpp>

namespace mustardshift::proxy {

namespace {

using nlohmann::json;

/** VMs send requests far more often. */
constexpr Duration kMaxSinceRequest = std::chrono::minutes(1);

json ToJson(const AttachmentRequest& aRequest)
{
  return { { "attach", aRequest.sender.Text() }, { "reply_to", aRequest.replyAddress },
           { "domain", aRequest.domain.Text() }, { "incarnation", aRequest.incarnation },
           { "number", aRequest.number },        { "member", aRequest.isMember } };
}

json ToJson(const AttachmentAnswer& aAnswer)
{
  json members = json::array();
  for (const RosterEntry& member : aAnswer.roster.members) {
    members.push_back({ member.vm.Text(), member.domain.Text(), member.peerAddress });
  }
  return { { "incarnation", aAnswer.incarnation },  { "number", aAnswer.number },
           { "operators", aAnswer.operatorDigest }, { "confirmed_us", aAnswer.operatorAge.count() },
           { "servers", aAnswer.serverDigest },     { "invited", aAnswer.isInvited },
           { "vms", aAnswer.roster.vmCount },       { "members", std::move(members) } };
}

json ToJson(const AttachmentNotice& aNotice)
{
  return { { "changed_at", aNotice.sender.Text() } };
}

json ToJson(const ConfirmationNotice& aNotice)
{
  return { { "incarnation", aNotice.incarnation },
           { "number", aNotice.number },
           { "operators", aNotice.operatorDigest },
           { "since_us", aNotice.sinceRequest.count() } };
}

AttachmentRequest DecodeRequest(const json& aValue)
{
  return { VmId(aValue.at("attach").get<std::string>()),
           aValue.at("reply_to").get<std::string>(),
           FailureDomainName(aValue.at("domain").get<std::string>()),
           IntegerOf<std::uint64_t>(aValue.at("incarnation")),
           IntegerOf<std::uint64_t>(aValue.at("number")),
           // Earlier versions don't send it.
           aValue.contains("member") && aValue["member"].get<bool>() };
}

ConfirmationNotice DecodeConfirmation(const json& aValue)
{
  return { IntegerOf<std::uint64_t>(aValue.at("incarnation")),
           IntegerOf<std::uint64_t>(aValue.at("number")),
           IntegerOf<std::uint64_t>(aValue.at("operators")),
           // A confirmation before the request is part of the answer.
           Duration(IntegerOf<std::int64_t>(aValue.at("since_us"), 0, kMaxSinceRequest.count())) };
}

AttachmentAnswer DecodeAnswer(const json& aValue)
{
  AttachmentAnswer answer;
  answer.incarnation = IntegerOf<std::uint64_t>(aValue.at("incarnation"));
  answer.number = IntegerOf<std::uint64_t>(aValue.at("number"));
  answer.operatorDigest = IntegerOf<std::uint64_t>(aValue.at("operators"));
  // A negative age would date a confirmation into the future.
  answer.operatorAge = Duration(IntegerOf<std::int64_t>(aValue.at("confirmed_us"), 0));
  answer.serverDigest = IntegerOf<std::uint64_t>(aValue.at("servers"));
  answer.isInvited = aValue.at("invited").get<bool>();
  answer.roster.vmCount = IntegerOf<std::uint32_t>(aValue.at("vms"));
  for (const json& member : aValue.at("members")) {
    answer.roster.members.push_back({ VmId(member.at(0).get<std::string>()),
                                      FailureDomainName(member.at(1).get<std::string>()),
                                      member.at(2).get<std::string>() });
  }
  return answer;
}

} // namespace

std::string EncodeAttachmentMessage(const AttachmentMessage& aMessage)
{
  return std::visit([](const auto& aPart) { return ToCbor(ToJson(aPart)); }, aMessage);
}

std::optional<AttachmentMessage> DecodeAttachmentMessage(std::string_view aBytes)
{
  const std::optional<json> value = ParseBoundedCbor(aBytes);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  try {
    if (value->contains("attach")) {
      return DecodeRequest(*value);
    }
    if (value->contains("changed_at")) {
      return AttachmentNotice{ VmId(value->at("changed_at").get<std::string>()) };
    }
    if (value->contains("since_us")) {
      return DecodeConfirmation(*value);
    }
    return DecodeAnswer(*value);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

#include "proxy/promotion/PromotionRecord.h"

#include "core/base/BoundedCbor.h"
#include "core/base/JsonNumber.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace mustardshift::proxy {

namespace {

/** Returns the presence of a replica that is not listed.
    @param aHasSameId  whether another process is listed under its id. */
ReplicaPresence PresenceWhenGone(ReplicaPresence aRecorded, bool aHasSameId)
{
  if (aHasSameId || aRecorded == ReplicaPresence::Replaced) {
    return ReplicaPresence::Replaced;
  }
  const bool hasAnnounced =
    aRecorded == ReplicaPresence::Leaving || aRecorded == ReplicaPresence::Left;
  return hasAnnounced ? ReplicaPresence::Left : ReplicaPresence::Absent;
}

std::string_view HostOf(const ServerAddress& aAddress)
{
  const std::string_view text = aAddress.Text();
  return text.substr(0, text.rfind(':'));
}

/** Whether a listed server has the log of a replica that has left: it is at its address. A server
    that has been listed since is accepted at another port of its host, too. */
bool IsSuccessor(const ServerRecord& aServer,
                 const ServerProcess& aLeft,
                 const ServerAddress& aAddress,
                 const RecordedReplicas& aRecorded)
{
  if (aAddress.Text().empty() || aServer.startedAtMs < aLeft.startedAtMs) {
    return false;
  }
  const bool isNew = !aRecorded.contains({ aServer.id, aServer.startedAtMs });
  return aServer.address == aAddress || (isNew && HostOf(aServer.address) == HostOf(aAddress));
}

/** Adds a decoded replica. Returns whether its presence is known. */
bool AddReplica(RecordedReplicas& aReplicas,
                ServerProcess aProcess,
                const std::string& aPresence,
                const std::string& aAddress)
{
  const auto presence = ValueOf(kReplicaPresenceNames, aPresence);
  if (presence) {
    aReplicas[std::move(aProcess)] = { *presence, ServerAddress(aAddress) };
  }
  return presence.has_value();
}

/** Returns nothing if a presence is not known. */
std::optional<RecordedReplicas> DecodeReplicas(const nlohmann::json& aValue)
{
  RecordedReplicas replicas;
  bool isKnown = true;
  if (aValue.is_object()) {
    // Earlier versions stored no addresses.
    for (const auto& [id, entry] : aValue.items()) {
      isKnown = isKnown && AddReplica(replicas,
                                      { ServerId(id), IntegerOf<std::int64_t>(entry.at(0)) },
                                      entry.at(1).get<std::string>(),
                                      {});
    }
  } else {
    for (const auto& entry : aValue) {
      const ServerId id(entry.at(0).get<std::string>());
      isKnown = isKnown && AddReplica(replicas,
                                      { id, IntegerOf<std::int64_t>(entry.at(1)) },
                                      entry.at(2).get<std::string>(),
                                      entry.at(3).get<std::string>());
    }
  }
  return isKnown ? std::optional(std::move(replicas)) : std::nullopt;
}

} // namespace

RecordedReplicas UpdateReplicas(const RecordedReplicas& aRecorded,
                                const std::vector<ServerRecord>& aListed,
                                const std::optional<ServerId>& aPrimary)
{
  RecordedReplicas replicas;
  std::set<ServerId> ids;
  for (const ServerRecord& server : aListed) {
    ids.insert(server.id);
    if (server.id != aPrimary) {
      const bool isLeaving = server.state == ServerState::Draining;
      replicas[{ server.id, server.startedAtMs }] = { isLeaving ? ReplicaPresence::Leaving
                                                                : ReplicaPresence::Listed,
                                                      server.address };
    }
  }
  for (const auto& [process, recorded] : aRecorded) {
    if (process.id == aPrimary || replicas.contains(process)) {
      continue;
    }
    const ReplicaPresence presence = PresenceWhenGone(recorded.presence, ids.contains(process.id));
    const bool hasSuccessor =
      presence == ReplicaPresence::Left &&
      std::any_of(aListed.begin(),
                  aListed.end(),
                  [&, &left = process, &address = recorded.address](const ServerRecord& aServer) {
                    return IsSuccessor(aServer, left, address, aRecorded);
                  });
    if (!hasSuccessor) {
      replicas[process] = { presence, recorded.address };
    }
  }
  return replicas;
}

std::string EncodePromotionRecord(const PromotionRecord& aRecord)
{
  nlohmann::json replicas = nlohmann::json::array();
  for (const auto& [process, replica] : aRecord.replicas) {
    replicas.push_back(nlohmann::json::array({ process.id.Text(),
                                               process.startedAtMs,
                                               NameOf(kReplicaPresenceNames, replica.presence),
                                               replica.address.Text() }));
  }
  return ToCbor({ { "primary", aRecord.primary.Text() },
                  { "term", aRecord.term },
                  { "open", aRecord.isOrderOpen },
                  { "candidate", aRecord.candidate.Text() },
                  { "replicas", std::move(replicas) },
                  { "required", aRecord.requiredOffset },
                  { "era", aRecord.era },
                  { "led",
                    nlohmann::json::array(
                      { aRecord.formerPrimary.id.Text(), aRecord.formerPrimary.startedAtMs }) } });
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
    record.candidate = ServerId(value->at("candidate").get<std::string>());
    record.requiredOffset = IntegerOf<std::uint64_t>(value->at("required"));
    if (value->contains("era")) {
      record.era = IntegerOf<std::uint64_t>(value->at("era"));
    }
    if (value->contains("led")) {
      const auto& led = value->at("led");
      record.formerPrimary = { ServerId(led.at(0).get<std::string>()),
                               IntegerOf<std::int64_t>(led.at(1)) };
    }
    auto replicas = DecodeReplicas(value->at("replicas"));
    if (!replicas) {
      return std::nullopt;
    }
    record.replicas = std::move(*replicas);
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace mustardshift::proxy

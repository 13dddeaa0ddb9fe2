#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/cluster/SessionConfiguration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** What one VM believes about configuration, servers and failure domains, and since when.

    Thread safety: none; one thread owns the object. */
class ClusterState
{
public:
  /** See MarkNotPrimary(); about the time that a change of role takes to show in the list. */
  static constexpr Duration kNotPrimaryMarkLifetime = std::chrono::milliseconds(1000);

  /** @param aMaxConfirmationAge  how long after its last confirmation the configuration may be used
     for requests with a key. */
  explicit ClusterState(Duration aMaxConfirmationAge)
    : maxConfirmationAge(aMaxConfirmationAge)
  {
  }

  /** Takes a configuration if it is newer. Returns whether it was taken. */
  bool ApplyConfigurationIfNewer(SessionConfiguration aConfiguration);

  /** Notes that the configuration held every accepted change at aAsOf, the instant before the
      request that showed it was sent. */
  void Confirm(Instant aAsOf);

  /** Whether requests with a key may be served. */
  bool IsTrusted(Instant aNow) const;

  /** Notes that the whole list of servers has been read once. */
  void SetServerListRead() { this->hasServerList = true; }
  /** Adds or changes one server. */
  void PutServer(const ServerRecord& aServer, Instant aNow);
  void RemoveServer(const ServerId& aId, Instant aNow);

  /** Replaces the set of failure domains that are out of service. */
  void SetEvacuatedDomains(std::set<FailureDomainName> aDomains, Instant aNow);

  const SessionConfiguration& Configuration() const { return this->configuration; }
  bool HasConfiguration() const { return this->configuration.version != 0; }
  bool HasServerList() const { return this->hasServerList; }
  Instant ConfirmedAt() const { return this->confirmedAt; }
  const std::map<ServerId, ServerRecord>& Servers() const { return this->servers; }
  const ServerRecord* Find(const ServerId& aId) const;

  /** Servers of a group that may be given new work: ready, and in a failure domain in service. */
  std::vector<ServerId> ReadyServers(const DatabaseName& aGroup) const;

  /** Whether a server is leaving, or its failure domain is out of service, and since when. */
  std::optional<Instant> DrainingSince(const ServerId& aId) const;

  /** The server that is believed to lead the group, or nothing. A belief only: reads that depend on
      it are checked by the server (see SessionRunner). */
  std::optional<ServerId> PrimaryOf(const DatabaseName& aGroup) const;

  /** Notes that a server refused a statement because it doesn't lead. It isn't believed to be the
      primary until its record changes, or for kNotPrimaryMarkLifetime: it may have lost the lead
     and got it back unseen, and asking it again is safe. */
  void MarkNotPrimary(const ServerId& aId, Instant aNow) { this->markedNotPrimaryAt[aId] = aNow; }
  /** Drops what MarkNotPrimary() noted too long ago. */
  void ExpireNotPrimaryMarks(Instant aNow);

  /** Instant since when the group has no primary in the list; nothing while it has one. */
  std::optional<Instant> WithoutPrimarySince(const DatabaseName& aGroup) const;

private:
  void NoteChange(const ServerRecord& aServer, Instant aNow);
  void UpdatePrimaries(Instant aNow);

  Duration maxConfirmationAge;
  SessionConfiguration configuration;
  bool isConfirmed = false;
  Instant confirmedAt{};
  bool hasServerList = false;
  std::map<ServerId, ServerRecord> servers;
  /** Instant of the change to draining. */
  std::map<ServerId, Instant> drainingStateSince;
  std::map<FailureDomainName, Instant> evacuatedDomains;
  std::map<ServerId, Instant> markedNotPrimaryAt;
  /** Order in which servers were seen to become primary; the latest one is believed. */
  std::map<ServerId, std::uint64_t> primaryOrder;
  std::uint64_t lastPrimaryOrder = 0;
  std::map<DatabaseName, Instant> withoutPrimarySince;
};

} // namespace mustardshift::proxy

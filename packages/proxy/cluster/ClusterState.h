#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/cluster/SessionConfiguration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** The configuration, the database servers and the failure domains as one VM knows them, with the
    times at which it learnt of changes. Can be out of date.

    Thread safety: none; one thread owns the object. */
class ClusterState
{
public:
  /** How long PrimaryOf() skips a server after MarkNotPrimary(): about the time until a change of
      role appears in the list of servers. */
  static constexpr Duration kNotPrimaryMarkLifetime = std::chrono::milliseconds(1000);

  /** @param aMaxConfirmationAge  how long after its last confirmation the configuration may be used
                                  for requests with a key. */
  explicit ClusterState(Duration aMaxConfirmationAge)
    : maxConfirmationAge(aMaxConfirmationAge)
  {
  }

  /** Replaces the configuration if the given one is newer. Returns whether it was replaced. */
  bool ApplyConfigurationIfNewer(SessionConfiguration aConfiguration);

  /** Records that the configuration contained every accepted change at aAsOf. aAsOf is the instant
      before the sending of the request whose answer showed this. */
  void Confirm(Instant aAsOf);

  /** Whether the configuration was confirmed recently enough to serve requests with a key. */
  bool IsTrusted(Instant aNow) const;

  /** Records that the whole list of servers has been read at least once. */
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

  /** All listed servers of a group. */
  std::vector<ServerId> ServersOf(const DatabaseName& aGroup) const;

  /** Servers of a group that may be given new work: not draining, and in a failure domain that is
      in service. */
  std::vector<ServerId> ReadyServers(const DatabaseName& aGroup) const;

  /** Instant since when a server is draining or its failure domain is out of service, whichever
      came first; nothing if neither is the case. */
  std::optional<Instant> DrainingSince(const ServerId& aId) const;

  /** The server that this VM considers the primary of the group, or nothing. This can be out of
      date; the server itself checks reads that depend on it (see ClientSession). */
  std::optional<ServerId> PrimaryOf(const DatabaseName& aGroup) const;

  /** Records that a server refused a statement because it is not the primary. PrimaryOf() skips the
      server until its record changes or kNotPrimaryMarkLifetime has passed. The mark expires
      because the server may have been demoted and promoted again without a visible change of its
      record; sending it another statement is safe. */
  void MarkNotPrimary(const ServerId& aId, Instant aNow) { this->markedNotPrimaryAt[aId] = aNow; }
  /** Records that a primary is being replaced, whether or not it is listed. PrimaryOf() skips it
      until then, or until its role changes. Precondition: none. Thread safety: as for the object.
      @param aOutlastsRole  whether a change of its role leaves the mark. */
  void MarkReplaced(const ServerId& aId, Instant aUntil, bool aOutlastsRole = false);
  /** Removes the marks of MarkNotPrimary() that are older than kNotPrimaryMarkLifetime, and those
     of MarkReplaced() that have ended. */
  void ExpireNotPrimaryMarks(Instant aNow);

  /** Instant since when no server of the group is listed as primary; nothing while one is. */
  std::optional<Instant> WithoutPrimarySince(const DatabaseName& aGroup) const;

private:
  void RecordChange(const ServerRecord& aServer, Instant aNow);
  void UpdatePrimaries(Instant aNow);

  Duration maxConfirmationAge;
  SessionConfiguration configuration;
  bool isConfirmed = false;
  Instant confirmedAt{};
  bool hasServerList = false;
  std::map<ServerId, ServerRecord> servers;
  /** Instant at which each draining server was first seen with ServerState::Draining. */
  std::map<ServerId, Instant> drainingStateSince;
  std::map<FailureDomainName, Instant> evacuatedDomains;
  std::map<ServerId, Instant> markedNotPrimaryAt;
  struct ReplacementMark
  {
    Instant until{};
    bool outlastsRole = false;
  };
  std::map<ServerId, ReplacementMark> replacementMarks;
  /** Order in which servers were seen to become primary; PrimaryOf() returns the latest one. */
  std::map<ServerId, std::uint64_t> primaryOrder;
  std::uint64_t lastPrimaryOrder = 0;
  std::map<DatabaseName, Instant> withoutPrimarySince;
};

} // namespace mustardshift::proxy

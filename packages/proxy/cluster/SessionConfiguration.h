#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/SessionRoute.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace mustardshift::proxy {

/** Rate limit of an organisation over all VMs together. */
struct OrganisationLimit
{
  /** Operations per second. */
  double ratePerSecond = 0;
  /** Number of operations that may arrive at once. */
  double burst = 0;

  friend bool operator==(const OrganisationLimit&, const OrganisationLimit&) = default;
};

/** The complete configuration that operators have set. */
struct SessionConfiguration
{
  std::uint64_t version = 0;
  /** Routes by the database name that clients ask for. */
  std::unordered_map<std::string, SessionRoute> routes;
  /** Organisations by KeyHash() of their keys. */
  std::unordered_map<std::string, OrganisationName> organisationsByKeyHash;
  std::map<OrganisationName, OrganisationLimit> limits;
  /** Number of connections that each server of a group accepts from all VMs together. */
  std::map<DatabaseName, unsigned> connectionLimits;
  /** Number of replicas that have received a commit before the primary acknowledges it, by group.
      Groups that are missing acknowledge commits which only the primary has. */
  std::map<DatabaseName, unsigned> syncReplicas;
  /** Number of organisations that were left out because their name can't be sent to a server. */
  unsigned unusableOrganisations = 0;
  /** A transaction that is idle for longer than this is rolled back. */
  Duration transactionIdleTimeout{ std::chrono::seconds(3) };
};

} // namespace mustardshift::proxy

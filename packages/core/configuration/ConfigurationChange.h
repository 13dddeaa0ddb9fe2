#pragma once

#include "core/base/Names.h"
#include "core/configuration/ApiKey.h"
#include "core/configuration/DatabaseGroup.h"
#include "core/configuration/Organisation.h"
#include "core/configuration/Route.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mustardshift {

/** Replaces organisations, routes and databases. ApplyChange() lists what is kept. */
struct ReplaceSchema
{
  std::vector<Organisation> organisations;
  std::vector<Route> routes;
  std::vector<DatabaseGroup> databases;
  /** Secret for session tokens, 64 lower-case hexadecimal digits. Used only when the configuration
      has none yet; in that case the VM that accepts the change generates a random one. */
  std::string tokenSecret;

  friend bool operator==(const ReplaceSchema&, const ReplaceSchema&) = default;
};

/** Adds a key to an organisation. */
struct GiveKey
{
  OrganisationName organisation;
  ApiKey key;

  friend bool operator==(const GiveKey&, const GiveKey&) = default;
};

/** Removes a key from an organisation. */
struct WithdrawKey
{
  OrganisationName organisation;
  std::string keyName;

  friend bool operator==(const WithdrawKey&, const WithdrawKey&) = default;
};

/** Takes a failure domain out of service or brings it back. */
struct SetFailureDomainState
{
  FailureDomainName failureDomain;
  bool inService = true;

  friend bool operator==(const SetFailureDomainState&, const SetFailureDomainState&) = default;
};

/** Takes a database out of service or brings it back. */
struct SetDatabaseState
{
  DatabaseName database;
  bool inService = true;

  friend bool operator==(const SetDatabaseState&, const SetDatabaseState&) = default;
};

/** One of the operations by which operators can change the configuration. */
using ConfigurationAction =
  std::variant<ReplaceSchema, GiveKey, WithdrawKey, SetFailureDomainState, SetDatabaseState>;

/** A change of the configuration. */
struct ConfigurationChange
{
  /** Version that results from the change. The change applies only to the version before it. */
  std::uint64_t version = 0;
  /** Id of the operator's request: 1 to 128 printable ASCII characters without spaces. If the
      response to the operator is lost, looking up the id shows whether the change was accepted. */
  std::string operationId;
  ConfigurationAction action;

  friend bool operator==(const ConfigurationChange&, const ConfigurationChange&) = default;
};

} // namespace mustardshift

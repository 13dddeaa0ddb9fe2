#include "core/configuration/ValidateConfiguration.h"

#include "core/base/Sha256.h"
#include "core/configuration/KeyHash.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace mustardshift {

namespace {

/** Description of the first violated rule, or nothing when the checked part is valid. */
using RuleViolation = std::optional<std::string>;

bool IsLetterOrDigit(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= '0' && aByte <= '9');
}

bool IsPort(std::string_view aText)
{
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, port);
  return error == std::errc() && stop == end && port > 0;
}

bool IsServerAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || !IsPort(std::string_view(aText).substr(colon + 1))) {
    return false;
  }
  std::array<unsigned char, 16> bytes{};
  const std::string host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

RuleViolation CheckName(const std::string& aKind,
                        const std::string& aName,
                        std::set<std::string>& aSeen)
{
  if (!IsWellFormedName(aName)) {
    return "the name of " + aKind + " is not 1 to 64 letters, digits, '.', '-' or '_'";
  }
  if (!aSeen.insert(aName).second) {
    return aKind + " is listed twice: " + aName;
  }
  return std::nullopt;
}

RuleViolation CheckOrganisation(const Organisation& aOrganisation, std::set<std::string>& aHashes)
{
  const std::string name = "organisation " + aOrganisation.name.Text();
  // The comparisons are negated so that NaN is rejected too.
  if (!(aOrganisation.rate > 0) || !std::isfinite(aOrganisation.rate)) {
    return name + " has a rate that is not positive";
  }
  if (!(aOrganisation.burst >= 1) || !std::isfinite(aOrganisation.burst)) {
    return name + " has a burst below 1";
  }
  if (aOrganisation.weight == 0) {
    return name + " has the weight 0";
  }
  std::set<std::string> keyNames;
  for (const ApiKey& key : aOrganisation.keys) {
    if (RuleViolation violation = CheckName("a key of " + name, key.name, keyNames)) {
      return violation;
    }
    if (!IsSha256Hex(key.hash)) {
      return "key " + key.name + " of " + name +
             " has a hash that is not 64 lower-case hexadecimal digits";
    }
    if (!aHashes.insert(key.hash).second) {
      return "key " + key.name + " of " + name + " is given twice";
    }
  }
  return std::nullopt;
}

RuleViolation CheckDatabase(const DatabaseGroup& aDatabase, std::set<std::string>& aAddresses)
{
  const std::string name = "database " + aDatabase.name.Text();
  if (aDatabase.servers.size() != 3) {
    return name + " has " + std::to_string(aDatabase.servers.size()) + " servers instead of 3";
  }
  if (aDatabase.slots == 0 || aDatabase.connectionLimit == 0) {
    return name + " has no slots or no connections";
  }
  for (const DatabaseServer& server : aDatabase.servers) {
    if (!IsServerAddress(server.address.Text())) {
      return name + " has a server whose address is not of the form IP:port";
    }
    if (!aAddresses.insert(server.address.Text()).second) {
      return "server " + server.address.Text() + " is listed twice";
    }
    if (!IsWellFormedName(server.failureDomain.Text())) {
      return "server " + server.address.Text() + " has no well-formed failure domain";
    }
  }
  return std::nullopt;
}

RuleViolation CheckRoute(const Route& aRoute,
                         const std::set<std::string>& aOrganisations,
                         const std::set<std::string>& aDatabases)
{
  const std::string name = "route " + aRoute.name.Text();
  if (!aDatabases.contains(aRoute.database.Text())) {
    return name + " names an unknown database";
  }
  if (!aRoute.isPublic && !aOrganisations.contains(aRoute.organisation.Text())) {
    return name + " names an unknown organisation";
  }
  if (aRoute.freshness < Duration::zero()) {
    return name + " has a negative freshness bound";
  }
  return std::nullopt;
}

RuleViolation FindRuleViolation(const Configuration& aConfiguration)
{
  std::set<std::string> organisations;
  std::set<std::string> hashes;
  for (const Organisation& organisation : aConfiguration.organisations) {
    RuleViolation violation = CheckName("organisation", organisation.name.Text(), organisations);
    if (!violation) {
      violation = CheckOrganisation(organisation, hashes);
    }
    if (violation) {
      return violation;
    }
  }
  std::set<std::string> databases;
  std::set<std::string> addresses;
  for (const DatabaseGroup& database : aConfiguration.databases) {
    RuleViolation violation = CheckName("database", database.name.Text(), databases);
    if (!violation) {
      violation = CheckDatabase(database, addresses);
    }
    if (violation) {
      return violation;
    }
  }
  std::set<std::string> routes;
  for (const Route& route : aConfiguration.routes) {
    RuleViolation violation = CheckName("route", route.name.Text(), routes);
    if (!violation) {
      violation = CheckRoute(route, organisations, databases);
    }
    if (violation) {
      return violation;
    }
  }
  for (const FailureDomainName& domain : aConfiguration.drainedFailureDomains) {
    if (!IsWellFormedName(domain.Text())) {
      return "the name of a drained failure domain is not well-formed";
    }
  }
  if (!IsSha256Hex(aConfiguration.tokenSecret)) {
    return "the token secret is not 64 lower-case hexadecimal digits";
  }
  return std::nullopt;
}

} // namespace

bool IsWellFormedName(std::string_view aText)
{
  constexpr std::size_t kMaxLength = 64;
  const auto isAllowed = [](char aByte) {
    return IsLetterOrDigit(aByte) || aByte == '.' || aByte == '-' || aByte == '_';
  };
  return !aText.empty() && aText.size() <= kMaxLength && IsLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

tl::expected<void, ConfigurationError> ValidateConfiguration(const Configuration& aConfiguration)
{
  if (RuleViolation violation = FindRuleViolation(aConfiguration)) {
    return tl::unexpected<ConfigurationError>(
      { ConfigurationErrorKind::Invalid, std::move(*violation) });
  }
  return {};
}

} // namespace mustardshift

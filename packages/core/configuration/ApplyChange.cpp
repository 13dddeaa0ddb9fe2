#include "core/configuration/ApplyChange.h"

#include "core/configuration/ValidateConfiguration.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift {

namespace {

using ApplyResult = tl::expected<void, ConfigurationError>;

tl::unexpected<ConfigurationError> Fail(ConfigurationErrorKind aKind, std::string aMessage)
{
  return tl::unexpected<ConfigurationError>({ aKind, std::move(aMessage) });
}

/** Returns the element that has a name, or null when there is none. */
template<class T, class Name>
T* FindNamed(std::vector<T>& aItems, const Name& aName)
{
  const auto found =
    std::find_if(aItems.begin(), aItems.end(), [&](const T& aItem) { return aItem.name == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

ApplyResult Apply(Configuration& aNext, const ReplaceSchema& aAction)
{
  std::vector<Organisation> organisations = aAction.organisations;
  for (Organisation& organisation : organisations) {
    Organisation* existing = FindNamed(aNext.organisations, organisation.name);
    if (existing != nullptr && organisation.keys.empty()) {
      organisation.keys = existing->keys;
    }
  }
  std::vector<DatabaseGroup> databases = aAction.databases;
  for (DatabaseGroup& database : databases) {
    if (const DatabaseGroup* existing = FindNamed(aNext.databases, database.name)) {
      database.inService = existing->inService;
    }
  }
  aNext.organisations = std::move(organisations);
  aNext.databases = std::move(databases);
  aNext.routes = aAction.routes;
  if (aNext.tokenSecret.empty()) {
    aNext.tokenSecret = aAction.tokenSecret;
  }
  return {};
}

ApplyResult Apply(Configuration& aNext, const GiveKey& aAction)
{
  Organisation* organisation = FindNamed(aNext.organisations, aAction.organisation);
  if (organisation == nullptr) {
    return Fail(ConfigurationErrorKind::Invalid, "the key's organisation is unknown");
  }
  organisation->keys.push_back(aAction.key);
  return {};
}

ApplyResult Apply(Configuration& aNext, const WithdrawKey& aAction)
{
  Organisation* organisation = FindNamed(aNext.organisations, aAction.organisation);
  if (organisation == nullptr) {
    return Fail(ConfigurationErrorKind::Invalid, "the key's organisation is unknown");
  }
  const std::size_t removed = std::erase_if(
    organisation->keys, [&](const ApiKey& aKey) { return aKey.name == aAction.keyName; });
  if (removed == 0) {
    return Fail(ConfigurationErrorKind::Invalid, "the organisation has no key of this name");
  }
  return {};
}

ApplyResult Apply(Configuration& aNext, const SetFailureDomainState& aAction)
{
  if (aAction.inService) {
    aNext.drainedFailureDomains.erase(aAction.failureDomain);
  } else {
    aNext.drainedFailureDomains.insert(aAction.failureDomain);
  }
  return {};
}

ApplyResult Apply(Configuration& aNext, const SetDatabaseState& aAction)
{
  DatabaseGroup* database = FindNamed(aNext.databases, aAction.database);
  if (database == nullptr) {
    return Fail(ConfigurationErrorKind::Invalid, "the database is unknown");
  }
  database->inService = aAction.inService;
  return {};
}

bool IsOperationId(const std::string& aText)
{
  constexpr std::size_t kMaxLength = 128;
  const auto isAllowed = [](char aByte) { return aByte > ' ' && aByte <= '~'; };
  return !aText.empty() && aText.size() <= kMaxLength &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

} // namespace

tl::expected<Configuration, ConfigurationError> ApplyChange(const Configuration& aConfiguration,
                                                            const ConfigurationChange& aChange)
{
  const std::string current = std::to_string(aConfiguration.version);
  if (aChange.version <= aConfiguration.version) {
    return Fail(ConfigurationErrorKind::VersionPassed,
                "the present configuration has version " + current);
  }
  if (aChange.version != aConfiguration.version + 1) {
    return Fail(ConfigurationErrorKind::VersionSkipped,
                "changes after version " + current + " are missing");
  }
  if (!IsOperationId(aChange.operationId)) {
    return Fail(ConfigurationErrorKind::Invalid,
                "the operation id is not 1 to 128 printable characters without spaces");
  }
  Configuration next = aConfiguration;
  next.version = aChange.version;
  ApplyResult applied =
    std::visit([&](const auto& aAction) { return Apply(next, aAction); }, aChange.action);
  if (applied) {
    applied = ValidateConfiguration(next);
  }
  if (!applied) {
    return tl::unexpected<ConfigurationError>(std::move(applied.error()));
  }
  return next;
}

} // namespace mustardshift

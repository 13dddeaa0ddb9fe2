#include "adapters/schema/SchemaReader.h"

#include "adapters/settings/YamlMap.h"
#include "core/base/Sha256.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace mustardshift {

namespace {

constexpr std::size_t kServersPerDatabase = 3;
constexpr std::size_t kMaximumKeys = 100;
constexpr double kMaximumRate = 1e7;

/** Finds values that stand twice in a file. */
class UniqueValues
{
public:
  /** Reports the value of a key if an earlier entry has it. Empty values have been reported
      already. */
  void Check(YamlMap& aMap, const std::string& aKey, const std::string& aValue)
  {
    if (aValue.empty()) {
      return;
    }
    const auto [position, isNew] = this->lines.try_emplace(aValue, aMap.LineOf(aKey));
    if (!isNew) {
      aMap.Report(aKey,
                  "\"" + aValue + "\" stands in line " + std::to_string(position->second) +
                    " already, expected a unique value");
    }
  }

private:
  std::map<std::string, int> lines;
};

std::string IndexedPath(const std::string& aList, std::size_t aIndex)
{
  return aList + "[" + std::to_string(aIndex) + "]";
}

/** Tells whether a key has been reported since it is neither true nor false. */
bool HasFaultyFlag(const YamlMap& aMap, const std::string& aKey)
{
  const YAML::Node value = aMap.Value(aKey);
  return aMap.Has(aKey) && !(value.IsScalar() && value.Scalar() == "false");
}

/** Reads the parts of one schema file in turn. */
class SchemaFileReader
{
public:
  explicit SchemaFileReader(InputErrorCollector& aErrors)
    : errors(aErrors)
  {
  }

  Schema Read(const YAML::Node& aDocument)
  {
    YamlMap top(aDocument, "", { "organisations", "routes", "databases" }, this->errors);
    this->ReadOrganisations(top);
    this->ReadDatabases(top);
    this->ReadRoutes(top);
    return std::move(this->schema);
  }

private:
  void ReadOrganisations(YamlMap& aTop)
  {
    UniqueValues names;
    for (const YAML::Node& node : aTop.List("organisations", true)) {
      const std::string path = IndexedPath("organisations", this->schema.organisations.size());
      YamlMap map(node, path, { "name", "rate", "burst", "weight", "keys" }, this->errors);
      Organisation organisation;
      organisation.name = OrganisationName(map.Identifier("name"));
      names.Check(map, "name", organisation.name.Text());
      organisation.rate = map.Number("rate", 0.01, kMaximumRate);
      // A burst below 1 would never let a request pass.
      organisation.burst = map.Number("burst", 1, kMaximumRate);
      organisation.weight = static_cast<unsigned>(map.Integer("weight", 1, 1000, 1));
      if (map.Has("keys")) {
        organisation.keys = this->ReadKeys(map, path);
      } else {
        this->schema.organisationsKeepingKeys.insert(organisation.name);
      }
      this->schema.organisations.push_back(std::move(organisation));
    }
  }

  std::vector<ApiKey> ReadKeys(YamlMap& aOrganisation, const std::string& aPath)
  {
    std::vector<ApiKey> keys;
    UniqueValues names;
    for (const YAML::Node& node : aOrganisation.List("keys", false, kMaximumKeys)) {
      YamlMap map(
        node, IndexedPath(aPath + ".keys", keys.size()), { "name", "hash" }, this->errors);
      ApiKey key;
      key.name = map.Identifier("name");
      names.Check(map, "name", key.name);
      key.hash = map.Text("hash");
      if (!key.hash.empty() && !IsSha256Hex(key.hash)) {
        // The value isn't shown: it may be a key that was put here by mistake.
        map.Report("hash", "is no hash, expected SHA-256 as 64 lower-case hexadecimal digits");
      } else {
        this->hashes.Check(map, "hash", key.hash);
      }
      keys.push_back(std::move(key));
    }
    return keys;
  }

  void ReadDatabases(YamlMap& aTop)
  {
    UniqueValues names;
    for (const YAML::Node& node : aTop.List("databases", true)) {
      const std::string path = IndexedPath("databases", this->schema.databases.size());
      YamlMap map(node, path, { "name", "servers", "slots", "connection_limit" }, this->errors);
      DatabaseGroup database;
      database.name = DatabaseName(map.Identifier("name"));
      names.Check(map, "name", database.name.Text());
      database.servers = this->ReadServers(map, path);
      database.slots = static_cast<std::uint32_t>(map.Integer("slots", 1, 10'000));
      database.connectionLimit =
        static_cast<std::uint32_t>(map.Integer("connection_limit", 1, 100'000));
      this->schema.databases.push_back(std::move(database));
    }
  }

  std::vector<DatabaseServer> ReadServers(YamlMap& aDatabase, const std::string& aPath)
  {
    std::vector<DatabaseServer> servers;
    const std::vector<YAML::Node> nodes = aDatabase.List("servers", true);
    if (aDatabase.Value("servers").IsSequence() && nodes.size() != kServersPerDatabase) {
      aDatabase.Report("servers",
                       "has " + std::to_string(nodes.size()) + " servers, expected " +
                         std::to_string(kServersPerDatabase));
      return servers;
    }
    for (const YAML::Node& node : nodes) {
      YamlMap map(node,
                  IndexedPath(aPath + ".servers", servers.size()),
                  { "address", "failure_domain" },
                  this->errors);
      DatabaseServer server;
      server.address = ServerAddress(map.Address("address"));
      this->addresses.Check(map, "address", server.address.Text());
      server.failureDomain = FailureDomainName(map.Identifier("failure_domain"));
      servers.push_back(std::move(server));
    }
    return servers;
  }

  void ReadRoutes(YamlMap& aTop)
  {
    UniqueValues names;
    for (const YAML::Node& node : aTop.List("routes", true)) {
      YamlMap map(node,
                  IndexedPath("routes", this->schema.routes.size()),
                  { "name", "organisation", "public", "database", "freshness" },
                  this->errors);
      Route route;
      route.name = RouteName(map.Identifier("name"));
      names.Check(map, "name", route.name.Text());
      route.isPublic = map.Flag("public", false);
      if (map.Has("organisation")) {
        route.organisation = OrganisationName(map.Identifier("organisation"));
        this->CheckOrganisation(map, route);
      } else if (node.IsMap() && !route.isPublic && !HasFaultyFlag(map, "public")) {
        map.Report("organisation", "missing, expected an organisation or \"public: true\"");
      }
      route.database = DatabaseName(map.Identifier("database"));
      this->CheckDatabase(map, route);
      route.freshness = map.Span("freshness", Duration(0), std::chrono::hours(1), Duration(0));
      this->schema.routes.push_back(std::move(route));
    }
  }

  void CheckOrganisation(YamlMap& aMap, const Route& aRoute) const
  {
    if (aRoute.isPublic) {
      aMap.Report("organisation",
                  "given although the route is public, expected either an organisation or "
                  "\"public: true\"");
      return;
    }
    const auto& known = this->schema.organisations;
    const bool exists = std::any_of(known.begin(), known.end(), [&](const Organisation& aOther) {
      return aOther.name == aRoute.organisation;
    });
    if (!exists && !aRoute.organisation.IsEmpty()) {
      aMap.Report("organisation",
                  "\"" + aRoute.organisation.Text() +
                    "\" does not exist, expected a name from organisations");
    }
  }

  void CheckDatabase(YamlMap& aMap, const Route& aRoute) const
  {
    const auto& known = this->schema.databases;
    const bool exists = std::any_of(known.begin(), known.end(), [&](const DatabaseGroup& aOther) {
      return aOther.name == aRoute.database;
    });
    if (!exists && !aRoute.database.IsEmpty()) {
      aMap.Report("database",
                  "\"" + aRoute.database.Text() +
                    "\" does not exist, expected a name from databases");
    }
  }

  InputErrorCollector& errors;
  Schema schema;
  /** A key identifies one organisation, so hashes are unique over the file. */
  UniqueValues hashes;
  UniqueValues addresses;
};

} // namespace

tl::expected<Schema, InputErrors> SchemaReader::ReadFile(const std::string& aPath) const
{
  InputErrorCollector errors(aPath);
  const auto text = ReadTextFile(aPath, errors);
  if (!text.has_value()) {
    return tl::unexpected(errors.Take());
  }
  return this->ReadText(*text, aPath);
}

tl::expected<Schema, InputErrors> SchemaReader::ReadText(const std::string& aText,
                                                         const std::string& aName) const
{
  InputErrorCollector errors(aName);
  const auto document = ParseYamlDocument(aText, errors);
  if (!document.has_value()) {
    return tl::unexpected(errors.Take());
  }
  Schema schema = SchemaFileReader(errors).Read(*document);
  if (!errors.IsEmpty()) {
    return tl::unexpected(errors.Take());
  }
  return schema;
}

} // namespace mustardshift

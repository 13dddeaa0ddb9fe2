#include "core/configuration/ConfigurationCodec.h"

#include "core/base/BoundedCbor.h"

#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace mustardshift {

namespace {

using nlohmann::json;

constexpr char kFormat = 1;
constexpr std::size_t kDigestBytes = 16;
constexpr std::size_t kHeaderBytes = 1 + kDigestBytes;

std::string DigestOf(std::string_view aContent)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aContent.data()), aContent.size(), digest.data());
  return { digest.begin(), digest.begin() + kDigestBytes };
}

std::string EncodeWithDigest(const json& aValue)
{
  const std::string content = ToCbor(aValue);
  return kFormat + DigestOf(content) + content;
}

json ToJson(const ApiKey& aKey);
json ToJson(const Organisation& aOrganisation);
json ToJson(const Route& aRoute);
json ToJson(const DatabaseServer& aServer);
json ToJson(const DatabaseGroup& aDatabase);

template<class T>
json ListToJson(const std::vector<T>& aItems)
{
  json list = json::array();
  for (const T& item : aItems) {
    list.push_back(ToJson(item));
  }
  return list;
}

json ToJson(const ApiKey& aKey)
{
  return { { "name", aKey.name }, { "hash", aKey.hash } };
}

json ToJson(const Organisation& aOrganisation)
{
  return { { "name", aOrganisation.name.Text() },
           { "rate", aOrganisation.rate },
           { "burst", aOrganisation.burst },
           { "weight", aOrganisation.weight },
           { "keys", ListToJson(aOrganisation.keys) } };
}

json ToJson(const Route& aRoute)
{
  return { { "name", aRoute.name.Text() },
           { "organisation", aRoute.organisation.Text() },
           { "public", aRoute.isPublic },
           { "database", aRoute.database.Text() },
           { "freshness-us", aRoute.freshness.count() } };
}

json ToJson(const DatabaseServer& aServer)
{
  return { { "address", aServer.address.Text() },
           { "failure-domain", aServer.failureDomain.Text() } };
}

json ToJson(const DatabaseGroup& aDatabase)
{
  return { { "name", aDatabase.name.Text() },
           { "servers", ListToJson(aDatabase.servers) },
           { "slots", aDatabase.slots },
           { "connection-limit", aDatabase.connectionLimit },
           { "in-service", aDatabase.inService } };
}

json ToJson(const ReplaceSchema& aAction)
{
  return { { "action", "replace-schema" },
           { "organisations", ListToJson(aAction.organisations) },
           { "routes", ListToJson(aAction.routes) },
           { "databases", ListToJson(aAction.databases) },
           { "token-secret", aAction.tokenSecret } };
}

json ToJson(const GiveKey& aAction)
{
  return { { "action", "give-key" },
           { "organisation", aAction.organisation.Text() },
           { "key", ToJson(aAction.key) } };
}

json ToJson(const WithdrawKey& aAction)
{
  return { { "action", "withdraw-key" },
           { "organisation", aAction.organisation.Text() },
           { "key-name", aAction.keyName } };
}

json ToJson(const SetFailureDomainState& aAction)
{
  return { { "action", "set-failure-domain-state" },
           { "failure-domain", aAction.failureDomain.Text() },
           { "in-service", aAction.inService } };
}

json ToJson(const SetDatabaseState& aAction)
{
  return { { "action", "set-database-state" },
           { "database", aAction.database.Text() },
           { "in-service", aAction.inService } };
}

/** Reads the fields of one map. The first field that is missing or has the wrong type sets the
    error message; all later reads then leave their targets unchanged. */
class FieldReader
{
public:
  FieldReader(const json& aValue, std::string& aError)
    : value(aValue)
    , error(aError)
  {
    if (!aValue.is_object()) {
      this->Fail("a map is missing");
    }
  }

  void Read(const char* aField, std::string& aTarget)
  {
    if (const json* field = this->FindField(aField, &json::is_string)) {
      aTarget = field->get<std::string>();
    }
  }

  template<class Tag>
  void Read(const char* aField, Name<Tag>& aTarget)
  {
    std::string text;
    this->Read(aField, text);
    aTarget = Name<Tag>(std::move(text));
  }

  void Read(const char* aField, bool& aTarget)
  {
    if (const json* field = this->FindField(aField, &json::is_boolean)) {
      aTarget = field->get<bool>();
    }
  }

  void Read(const char* aField, double& aTarget)
  {
    if (const json* field = this->FindField(aField, &json::is_number)) {
      aTarget = field->get<double>();
    }
  }

  template<class T>
  requires std::is_unsigned_v<T>
  void Read(const char* aField, T& aTarget)
  {
    const json* field = this->FindField(aField, &json::is_number_unsigned);
    if (field == nullptr) {
      return;
    }
    const auto number = field->get<std::uint64_t>();
    if (number > std::numeric_limits<T>::max()) {
      this->Fail(std::string("field out of range: ") + aField);
      return;
    }
    aTarget = static_cast<T>(number);
  }

  void Read(const char* aField, Duration& aTarget)
  {
    std::uint64_t number = 0;
    this->Read(aField, number);
    if (number > static_cast<std::uint64_t>(Duration::max().count())) {
      this->Fail(std::string("field out of range: ") + aField);
      return;
    }
    aTarget = Duration(static_cast<Duration::rep>(number));
  }

  /** Reads an array. aReadItem is called for each element, with a FieldReader for the element and
      the item to fill. */
  template<class T, class ReadItem>
  void ReadList(const char* aField, std::vector<T>& aTarget, ReadItem aReadItem)
  {
    const json* field = this->FindField(aField, &json::is_array);
    if (field == nullptr) {
      return;
    }
    for (const json& item : *field) {
      FieldReader reader(item, this->error);
      T target;
      aReadItem(reader, target);
      reader.ExpectNoOtherFields();
      if (!this->error.empty()) {
        return;
      }
      aTarget.push_back(std::move(target));
    }
  }

  const json* FindField(const char* aField, bool (json::*aIsType)() const noexcept)
  {
    if (!this->error.empty()) {
      return nullptr;
    }
    const auto found = this->value.find(aField);
    if (found == this->value.end() || !((*found).*aIsType)()) {
      this->Fail(std::string("field missing or of the wrong type: ") + aField);
      return nullptr;
    }
    ++this->fieldsFound;
    return &*found;
  }

  /** Reports an error when the map has a field that was not read. Call it after the last field. */
  void ExpectNoOtherFields()
  {
    if (this->error.empty() && this->fieldsFound != this->value.size()) {
      this->Fail("a map has an unknown field");
    }
  }

  void Fail(std::string aError)
  {
    if (this->error.empty()) {
      this->error = std::move(aError);
    }
  }

private:
  const json& value;
  std::string& error;
  std::size_t fieldsFound = 0;
};

void ReadKey(FieldReader& aReader, ApiKey& aKey)
{
  aReader.Read("name", aKey.name);
  aReader.Read("hash", aKey.hash);
}

void ReadOrganisation(FieldReader& aReader, Organisation& aOrganisation)
{
  aReader.Read("name", aOrganisation.name);
  aReader.Read("rate", aOrganisation.rate);
  aReader.Read("burst", aOrganisation.burst);
  aReader.Read("weight", aOrganisation.weight);
  aReader.ReadList("keys", aOrganisation.keys, ReadKey);
}

void ReadRoute(FieldReader& aReader, Route& aRoute)
{
  aReader.Read("name", aRoute.name);
  aReader.Read("organisation", aRoute.organisation);
  aReader.Read("public", aRoute.isPublic);
  aReader.Read("database", aRoute.database);
  aReader.Read("freshness-us", aRoute.freshness);
}

void ReadServer(FieldReader& aReader, DatabaseServer& aServer)
{
  aReader.Read("address", aServer.address);
  aReader.Read("failure-domain", aServer.failureDomain);
}

void ReadDatabase(FieldReader& aReader, DatabaseGroup& aDatabase)
{
  aReader.Read("name", aDatabase.name);
  aReader.ReadList("servers", aDatabase.servers, ReadServer);
  aReader.Read("slots", aDatabase.slots);
  aReader.Read("connection-limit", aDatabase.connectionLimit);
  aReader.Read("in-service", aDatabase.inService);
}

template<class Schema>
void ReadSchema(FieldReader& aReader, Schema& aSchema)
{
  aReader.ReadList("organisations", aSchema.organisations, ReadOrganisation);
  aReader.ReadList("routes", aSchema.routes, ReadRoute);
  aReader.ReadList("databases", aSchema.databases, ReadDatabase);
  aReader.Read("token-secret", aSchema.tokenSecret);
}

ConfigurationAction ReadAction(const json& aValue, std::string& aError)
{
  FieldReader reader(aValue, aError);
  ConfigurationAction action;
  std::string kind;
  reader.Read("action", kind);
  if (kind == "replace-schema") {
    ReadSchema(reader, action.emplace<ReplaceSchema>());
  } else if (kind == "give-key") {
    auto& give = action.emplace<GiveKey>();
    reader.Read("organisation", give.organisation);
    if (const json* key = reader.FindField("key", &json::is_object)) {
      FieldReader keyReader(*key, aError);
      ReadKey(keyReader, give.key);
      keyReader.ExpectNoOtherFields();
    }
  } else if (kind == "withdraw-key") {
    auto& withdraw = action.emplace<WithdrawKey>();
    reader.Read("organisation", withdraw.organisation);
    reader.Read("key-name", withdraw.keyName);
  } else if (kind == "set-failure-domain-state") {
    auto& state = action.emplace<SetFailureDomainState>();
    reader.Read("failure-domain", state.failureDomain);
    reader.Read("in-service", state.inService);
  } else if (kind == "set-database-state") {
    auto& state = action.emplace<SetDatabaseState>();
    reader.Read("database", state.database);
    reader.Read("in-service", state.inService);
  } else {
    reader.Fail("the action is unknown");
  }
  reader.ExpectNoOtherFields();
  return action;
}

tl::unexpected<ConfigurationError> MalformedError(const std::string& aMessage)
{
  return tl::unexpected<ConfigurationError>(
    { ConfigurationErrorKind::Malformed, "the configuration can't be decoded: " + aMessage });
}

tl::expected<json, ConfigurationError> VerifyAndParse(std::string_view aBytes)
{
  if (aBytes.size() > kMaxConfigurationBytes) {
    return MalformedError("it is too long");
  }
  if (aBytes.size() <= kHeaderBytes) {
    return MalformedError("it is too short");
  }
  if (aBytes.front() != kFormat) {
    return MalformedError("its format is unknown");
  }
  const std::string_view content = aBytes.substr(kHeaderBytes);
  if (aBytes.substr(1, kDigestBytes) != DigestOf(content)) {
    return MalformedError("it is damaged");
  }
  std::optional<json> value = ParseBoundedCbor(content);
  if (!value) {
    return MalformedError("it is not well-formed CBOR");
  }
  return std::move(*value);
}

} // namespace

std::string EncodeConfiguration(const Configuration& aConfiguration)
{
  json drained = json::array();
  for (const FailureDomainName& domain : aConfiguration.drainedFailureDomains) {
    drained.push_back(domain.Text());
  }
  return EncodeWithDigest({ { "version", aConfiguration.version },
                            { "organisations", ListToJson(aConfiguration.organisations) },
                            { "routes", ListToJson(aConfiguration.routes) },
                            { "databases", ListToJson(aConfiguration.databases) },
                            { "drained-failure-domains", std::move(drained) },
                            { "token-secret", aConfiguration.tokenSecret } });
}

tl::expected<Configuration, ConfigurationError> DecodeConfiguration(std::string_view aBytes)
{
  const tl::expected<json, ConfigurationError> value = VerifyAndParse(aBytes);
  if (!value) {
    return tl::unexpected<ConfigurationError>(value.error());
  }
  std::string error;
  Configuration configuration;
  FieldReader reader(*value, error);
  reader.Read("version", configuration.version);
  ReadSchema(reader, configuration);
  if (const json* drained = reader.FindField("drained-failure-domains", &json::is_array)) {
    for (const json& domain : *drained) {
      if (!domain.is_string()) {
        reader.Fail("a drained failure domain is not a string");
        break;
      }
      configuration.drainedFailureDomains.emplace(domain.get<std::string>());
    }
  }
  reader.ExpectNoOtherFields();
  if (!error.empty()) {
    return MalformedError(error);
  }
  return configuration;
}

std::string EncodeChange(const ConfigurationChange& aChange)
{
  return EncodeWithDigest(
    { { "version", aChange.version },
      { "operation-id", aChange.operationId },
      { "action",
        std::visit([](const auto& aAction) { return ToJson(aAction); }, aChange.action) } });
}

tl::expected<ConfigurationChange, ConfigurationError> DecodeChange(std::string_view aBytes)
{
  const tl::expected<json, ConfigurationError> value = VerifyAndParse(aBytes);
  if (!value) {
    return tl::unexpected<ConfigurationError>(value.error());
  }
  std::string error;
  ConfigurationChange change;
  FieldReader reader(*value, error);
  reader.Read("version", change.version);
  reader.Read("operation-id", change.operationId);
  if (const json* action = reader.FindField("action", &json::is_object)) {
    change.action = ReadAction(*action, error);
  }
  reader.ExpectNoOtherFields();
  if (!error.empty()) {
    return MalformedError(error);
  }
  return change;
}

} // namespace mustardshift

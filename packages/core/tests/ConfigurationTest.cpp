#include "core/base/BoundedCbor.h"
#include "core/configuration/ApplyChange.h"
#include "core/configuration/ConfigurationCodec.h"
#include "core/configuration/CurrentConfiguration.h"
#include "core/configuration/KeyHash.h"
#include "core/configuration/KeyIndex.h"
#include "core/configuration/ValidateConfiguration.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

using Kind = ConfigurationErrorKind;

DatabaseGroup Database(const std::string& aName, int aThirdOctet)
{
  DatabaseGroup database{ DatabaseName(aName), {}, 3, 20, true };
  for (int i = 1; i <= 3; ++i) {
    database.servers.push_back(
      { ServerAddress("127.0." + std::to_string(aThirdOctet) + "." + std::to_string(i) + ":5000"),
        FailureDomainName("fd" + std::to_string(i)) });
  }
  return database;
}

ReplaceSchema Schema()
{
  ReplaceSchema schema;
  schema.organisations = { { OrganisationName("harbour"), 120.5, 30, 2, {} },
                           { OrganisationName("quay"), 0.25, 1, 1, {} } };
  schema.databases = { Database("bookings", 1), Database("invoices", 2) };
  schema.routes = {
    { RouteName("book"), OrganisationName("harbour"), false, DatabaseName("bookings"), {} },
    { RouteName("search"), {}, true, DatabaseName("bookings"), Duration(250'000) },
    { RouteName("bill"), OrganisationName("quay"), false, DatabaseName("invoices"), Duration(1) }
  };
  schema.tokenSecret = std::string(64, 'e');
  return schema;
}

ConfigurationChange Change(std::uint64_t aVersion, ConfigurationAction aAction)
{
  return { aVersion, "operation-" + std::to_string(aVersion), std::move(aAction) };
}

GiveKey Give(const std::string& aOrganisation, const std::string& aName, std::string_view aKey)
{
  return { OrganisationName(aOrganisation), { aName, KeyHash(aKey) } };
}

/** Returns a series of valid changes that uses each action. */
std::vector<ConfigurationChange> Changes()
{
  return { Change(1, Schema()),
           Change(2, Give("harbour", "first", "key-1")),
           Change(3, Give("quay", "first", "key-2")),
           Change(4, SetFailureDomainState{ FailureDomainName("fd2"), false }),
           Change(5, SetDatabaseState{ DatabaseName("invoices"), false }),
           Change(6, Give("harbour", "second", "key-3")),
           Change(7, Schema()),
           Change(8, WithdrawKey{ OrganisationName("harbour"), "first" }),
           Change(9, SetDatabaseState{ DatabaseName("invoices"), true }),
           Change(10, SetFailureDomainState{ FailureDomainName("fd2"), true }) };
}

/** Returns the configurations of versions 0 to 10. */
std::vector<Configuration> Versions()
{
  std::vector<Configuration> versions(1);
  for (const ConfigurationChange& change : Changes()) {
    versions.push_back(ApplyChange(versions.back(), change).value());
  }
  return versions;
}

/** Decodes bytes and returns whether they were refused as malformed. */
template<class Decode>
bool IsMalformed(Decode aDecode, std::string_view aBytes)
{
  const auto decoded = aDecode(aBytes);
  return !decoded && decoded.error().kind == Kind::Malformed && !decoded.error().message.empty();
}

/** Adds the format number and a matching digest to a content, as ConfigurationCodec does, so that
    the decoder parses a damaged content instead of refusing its digest. */
std::string WithDigest(const std::string& aContent)
{
  const std::string hash = KeyHash(aContent);
  std::string bytes(1, '\1');
  for (std::size_t i = 0; i < 32; i += 2) {
    bytes += static_cast<char>(std::stoi(hash.substr(i, 2), nullptr, 16));
  }
  return bytes + aContent;
}

/** Applies changes and snapshots in random order, some of them repeatedly. Returns how often the
    version decreased or the configuration was not the expected one of its version.

    @param aSubject  object under test, without any change applied. */
template<class Subject>
int CountVersionErrors(std::uint64_t aSeed, Subject aSubject)
{
  const std::vector<Configuration> versions = Versions();
  const std::vector<ConfigurationChange> changes = Changes();
  std::mt19937_64 random(aSeed);
  std::uint64_t highest = 0;
  int versionErrors = 0;
  for (int step = 0; step < 60; ++step) {
    const std::size_t changeIndex = random() % changes.size();
    if (random() % 8 == 0) {
      aSubject.ApplySnapshot(versions[changeIndex + 1]);
    } else {
      aSubject.Apply(changes[changeIndex]);
    }
    const Configuration current = *aSubject.Get();
    versionErrors += current.version < highest || current != versions[current.version] ? 1 : 0;
    highest = std::max(highest, current.version);
  }
  return versionErrors;
}

/** Broken variant of CurrentConfiguration: accepts any snapshot, and any change regardless of its
    version. */
class UncheckedConfiguration
{
public:
  const Configuration* Get() const { return &this->current; }

  void Apply(ConfigurationChange aChange)
  {
    const std::uint64_t version = aChange.version;
    aChange.version = this->current.version + 1;
    if (auto next = ApplyChange(this->current, aChange)) {
      this->current = std::move(*next);
      this->current.version = version;
    }
  }

  void ApplySnapshot(const Configuration& aConfiguration) { this->current = aConfiguration; }

private:
  Configuration current;
};

} // namespace

/** Guards against a configuration that returns to an earlier version, is applied incompletely or
    violates its rules, and against keys that give access to another organisation's routes. */
class ConfigurationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(FindsKeys);
  CPPUNIT_TEST(AppliesEachAction);
  CPPUNIT_TEST(RefusesInvalidChanges);
  CPPUNIT_TEST(RefusesInvalidSchemas);
  CPPUNIT_TEST(VersionNeverDecreases);
  CPPUNIT_TEST(DecodesWhatWasEncoded);
  CPPUNIT_TEST(RefusesMutatedBytes);
  CPPUNIT_TEST(RefusesMalformedStructure);
  CPPUNIT_TEST_SUITE_END();

public:
  void FindsKeys()
  {
    const KeyIndex index(Versions()[6]);
    const auto reason = [&](std::string_view aKey) {
      const Outcome<OrganisationName> found = index.Find(aKey);
      CPPUNIT_ASSERT(!found.has_value());
      CPPUNIT_ASSERT(found.error().verdict == Verdict::NotRun);
      return found.error().reason;
    };
    Section("a key is found with its organisation", [&] {
      CPPUNIT_ASSERT(index.Find("key-1").value() == OrganisationName("harbour"));
      CPPUNIT_ASSERT(index.Find("key-2").value() == OrganisationName("quay"));
      CPPUNIT_ASSERT(index.Find("key-3").value() == OrganisationName("harbour"));
    });
    Section("other keys are refused", [&] {
      CPPUNIT_ASSERT(reason("") == Reason::KeyMissing);
      CPPUNIT_ASSERT(reason("key-4") == Reason::KeyUnknown);
      CPPUNIT_ASSERT(reason("key-1 ") == Reason::KeyUnknown);
      CPPUNIT_ASSERT(reason(KeyHash("key-1")) == Reason::KeyUnknown);
      CPPUNIT_ASSERT(reason(std::string(257, 'k')) == Reason::KeyUnknown);
      CPPUNIT_ASSERT(reason(std::string_view("key-1\0", 6)) == Reason::KeyUnknown);
    });
    Section("a malformed key is refused even when its hash is listed", [&] {
      Configuration configuration = Versions()[6];
      configuration.organisations[0].keys.push_back({ "bad", KeyHash("tab\t") });
      const KeyIndex other(configuration);
      CPPUNIT_ASSERT(!other.Find("tab\t").has_value());
    });
    Section("a withdrawn key is refused", [&] {
      CPPUNIT_ASSERT(!KeyIndex(Versions()[8]).Find("key-1").has_value());
      CPPUNIT_ASSERT(KeyIndex(Versions()[8]).Find("key-3").has_value());
    });
    Section("a key that two organisations share matches neither", [&] {
      Configuration configuration = Versions()[6];
      configuration.organisations[1].keys = configuration.organisations[0].keys;
      CPPUNIT_ASSERT(!KeyIndex(configuration).Find("key-1").has_value());
    });
    Section("the hash is SHA-256", [&] {
      CPPUNIT_ASSERT_EQUAL(
        std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"),
        KeyHash("abc"));
    });
  }

  void AppliesEachAction()
  {
    const std::vector<Configuration> versions = Versions();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, versions[10].version);
    CPPUNIT_ASSERT(versions[4].drainedFailureDomains.contains(FailureDomainName("fd2")));
    CPPUNIT_ASSERT(!versions[5].databases[1].inService);
    Section("a new schema keeps keys, drained states and the token secret", [&] {
      ReplaceSchema schema = Schema();
      schema.tokenSecret.clear();
      schema.organisations[1].keys = { { "fresh", KeyHash("key-9") } };
      const Configuration next = ApplyChange(versions[6], Change(7, schema)).value();
      CPPUNIT_ASSERT(next.organisations[0].keys == versions[6].organisations[0].keys);
      CPPUNIT_ASSERT(next.organisations[1].keys == schema.organisations[1].keys);
      CPPUNIT_ASSERT(next.drainedFailureDomains == versions[6].drainedFailureDomains);
      CPPUNIT_ASSERT(!next.databases[1].inService);
      CPPUNIT_ASSERT_EQUAL(versions[6].tokenSecret, next.tokenSecret);
    });
    CPPUNIT_ASSERT(versions[9].databases[1].inService);
    CPPUNIT_ASSERT(versions[10].drainedFailureDomains.empty());
  }

  void RefusesInvalidChanges()
  {
    const Configuration base = Versions()[6];
    const auto isInvalid = [&](ConfigurationAction aAction) {
      const auto result = ApplyChange(base, Change(7, std::move(aAction)));
      return !result && result.error().kind == Kind::Invalid && !result.error().message.empty();
    };
    CPPUNIT_ASSERT(ApplyChange(base, Change(6, Schema())).error().kind == Kind::VersionPassed);
    CPPUNIT_ASSERT(ApplyChange(base, Change(8, Schema())).error().kind == Kind::VersionSkipped);
    CPPUNIT_ASSERT(!ApplyChange(base, { 7, "", Schema() }).has_value());
    CPPUNIT_ASSERT(!ApplyChange(base, { 7, "two words", Schema() }).has_value());
    CPPUNIT_ASSERT(isInvalid(Give("nobody", "third", "key-7")));
    CPPUNIT_ASSERT(isInvalid(Give("harbour", "first", "key-7")));
    CPPUNIT_ASSERT(isInvalid(Give("quay", "third", "key-1")));
    CPPUNIT_ASSERT(isInvalid(Give("quay", "", "key-7")));
    CPPUNIT_ASSERT(isInvalid(GiveKey{ OrganisationName("quay"), { "third", "key-7" } }));
    CPPUNIT_ASSERT(
      isInvalid(GiveKey{ OrganisationName("quay"), { "third", std::string(64, 'F') } }));
    CPPUNIT_ASSERT(isInvalid(WithdrawKey{ OrganisationName("quay"), "third" }));
    CPPUNIT_ASSERT(isInvalid(WithdrawKey{ OrganisationName("nobody"), "first" }));
    CPPUNIT_ASSERT(isInvalid(SetDatabaseState{ DatabaseName("nothing"), false }));
    CPPUNIT_ASSERT(isInvalid(SetFailureDomainState{ FailureDomainName("a b"), false }));
  }

  void RefusesInvalidSchemas()
  {
    using Edit = std::function<void(ReplaceSchema&)>;
    const std::vector<std::pair<std::string, Edit>> edits{
      { "rate is 0", [](auto& aSchema) { aSchema.organisations[0].rate = 0; } },
      { "rate is NaN", [](auto& aSchema) { aSchema.organisations[0].rate = std::nan(""); } },
      { "infinite burst",
        [](auto& aSchema) {
          aSchema.organisations[0].burst = std::numeric_limits<double>::infinity();
        } },
      { "burst below 1", [](auto& aSchema) { aSchema.organisations[0].burst = 0.5; } },
      { "weight is 0", [](auto& aSchema) { aSchema.organisations[0].weight = 0; } },
      { "organisation listed twice",
        [](auto& aSchema) { aSchema.organisations[1].name = aSchema.organisations[0].name; } },
      { "organisation without a name", [](auto& aSchema) { aSchema.organisations[0].name = {}; } },
      { "database with two servers",
        [](auto& aSchema) { aSchema.databases[0].servers.pop_back(); } },
      { "server in two databases",
        [](auto& aSchema) { aSchema.databases[1].servers[0] = aSchema.databases[0].servers[0]; } },
      { "server address with a host name",
        [](auto& aSchema) {
          aSchema.databases[0].servers[0].address = ServerAddress("localhost:5000");
        } },
      { "server address with port 0",
        [](auto& aSchema) {
          aSchema.databases[0].servers[0].address = ServerAddress("127.0.0.1:0");
        } },
      { "server without a failure domain",
        [](auto& aSchema) { aSchema.databases[0].servers[0].failureDomain = {}; } },
      { "database without slots", [](auto& aSchema) { aSchema.databases[0].slots = 0; } },
      { "database without connections",
        [](auto& aSchema) { aSchema.databases[0].connectionLimit = 0; } },
      { "database listed twice",
        [](auto& aSchema) { aSchema.databases[1].name = aSchema.databases[0].name; } },
      { "route to an unknown database",
        [](auto& aSchema) { aSchema.routes[0].database = DatabaseName("nothing"); } },
      { "route of an unknown organisation",
        [](auto& aSchema) { aSchema.routes[0].organisation = OrganisationName("nobody"); } },
      { "route without an organisation",
        [](auto& aSchema) { aSchema.routes[1].isPublic = false; } },
      { "route listed twice",
        [](auto& aSchema) { aSchema.routes[1].name = aSchema.routes[0].name; } },
      { "negative freshness bound",
        [](auto& aSchema) { aSchema.routes[0].freshness = Duration(-1); } },
      { "no token secret", [](auto& aSchema) { aSchema.tokenSecret.clear(); } },
    };
    CPPUNIT_ASSERT(ApplyChange({}, Change(1, Schema())).has_value());
    for (const auto& [title, edit] : edits) {
      Section(title, [&edit = edit] {
        ReplaceSchema schema = Schema();
        edit(schema);
        const auto result = ApplyChange({}, Change(1, schema));
        CPPUNIT_ASSERT(!result.has_value());
        CPPUNIT_ASSERT(result.error().kind == Kind::Invalid);
      });
    }
  }

  void VersionNeverDecreases()
  {
    int versionErrors = 0;
    int versionErrorsWhenBroken = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      versionErrors += CountVersionErrors(seed, CurrentConfiguration());
      versionErrorsWhenBroken += CountVersionErrors(seed, UncheckedConfiguration());
    }
    CPPUNIT_ASSERT_EQUAL(0, versionErrors);
    Section("the check detects a variant that ignores versions",
            [&] { CPPUNIT_ASSERT(versionErrorsWhenBroken > 0); });
    Section("an invalid snapshot leaves the configuration unchanged", [] {
      CurrentConfiguration current;
      Configuration broken = Versions()[10];
      broken.databases.clear();
      CPPUNIT_ASSERT(current.ApplySnapshot(broken).error().kind == Kind::Invalid);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, current.Version());
    });
    Section("a configuration that Get() returned is not modified later", [] {
      CurrentConfiguration current;
      CPPUNIT_ASSERT(current.ApplySnapshot(Versions()[3]).has_value());
      const auto earlier = current.Get();
      CPPUNIT_ASSERT(current.Apply(Changes()[3]).has_value());
      CPPUNIT_ASSERT(*earlier == Versions()[3]);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, current.Version());
    });
  }

  void DecodesWhatWasEncoded()
  {
    for (const Configuration& configuration : Versions()) {
      CPPUNIT_ASSERT(DecodeConfiguration(EncodeConfiguration(configuration)).value() ==
                     configuration);
    }
    for (const ConfigurationChange& change : Changes()) {
      CPPUNIT_ASSERT(DecodeChange(EncodeChange(change)).value() == change);
    }
    Section("the configuration of the largest planned deployment can be encoded", [] {
      Configuration large = Versions()[10];
      for (int i = 0; i < 870; ++i) {
        large.databases.push_back(Database("database-" + std::to_string(i), i));
      }
      const std::string bytes = EncodeConfiguration(large);
      CPPUNIT_ASSERT(bytes.size() < kMaxConfigurationBytes);
      CPPUNIT_ASSERT(DecodeConfiguration(bytes).value() == large);
    });
  }

  void RefusesMutatedBytes()
  {
    const std::string configuration = EncodeConfiguration(Versions()[6]);
    const std::string change = EncodeChange(Changes()[0]);
    Section("each flipped bit is detected", [&] {
      for (std::size_t bit = 0; bit < 8 * change.size(); ++bit) {
        std::string mutated = change;
        mutated[bit / 8] = static_cast<char>(mutated[bit / 8] ^ (1 << (bit % 8)));
        CPPUNIT_ASSERT(IsMalformed(DecodeChange, mutated));
      }
    });
    Section("each truncation is detected", [&] {
      for (std::size_t length = 0; length < configuration.size(); ++length) {
        CPPUNIT_ASSERT(IsMalformed(DecodeConfiguration, configuration.substr(0, length)));
      }
      CPPUNIT_ASSERT(IsMalformed(DecodeConfiguration, configuration + '\0'));
    });
    Section("an input above the maximum length is refused", [&] {
      CPPUNIT_ASSERT(IsMalformed(DecodeChange, std::string(kMaxConfigurationBytes + 1, '\1')));
    });
    Section("random bytes are refused", [&] {
      std::mt19937_64 random(20261204);
      for (int round = 0; round < 20000; ++round) {
        std::string noise(random() % 60, '\0');
        for (char& byte : noise) {
          byte = static_cast<char>(random());
        }
        CPPUNIT_ASSERT(IsMalformed(DecodeChange, WithDigest(noise)));
        CPPUNIT_ASSERT(IsMalformed(DecodeConfiguration, WithDigest(noise)));
      }
    });
    Section("damaged content with a valid digest gives an error or a value, never a crash", [&] {
      std::mt19937_64 random(3);
      const std::string content = configuration.substr(17);
      CPPUNIT_ASSERT(DecodeConfiguration(WithDigest(content)).has_value());
      for (int round = 0; round < 5000; ++round) {
        std::string mutated = content;
        for (std::size_t flips = 1 + random() % 3; flips > 0; --flips) {
          char& byte = mutated[random() % mutated.size()];
          byte = static_cast<char>(byte ^ (1 << (random() % 8)));
        }
        CurrentConfiguration current;
        if (const auto decoded = DecodeConfiguration(WithDigest(mutated))) {
          current.ApplySnapshot(*decoded);
        }
      }
    });
  }

  void RefusesMalformedStructure()
  {
    const auto decode = [](const nlohmann::json& aValue) {
      return IsMalformed(DecodeChange, WithDigest(ToCbor(aValue)));
    };
    const nlohmann::json valid = *ParseBoundedCbor(EncodeChange(Changes()[0]).substr(17));
    CPPUNIT_ASSERT(!decode(valid));
    Section("each field is required with its type, and unknown fields are refused", [&] {
      const nlohmann::json leaves = valid.flatten();
      for (const auto& item : leaves.items()) {
        const std::string& path = item.key();
        const nlohmann::json::json_pointer pointer(path);
        nlohmann::json changed = valid;
        changed[pointer] = nullptr;
        CPPUNIT_ASSERT_MESSAGE(path, decode(changed));
        nlohmann::json& parent = changed[pointer.parent_pointer()];
        if (parent.is_object()) {
          parent.erase(pointer.back());
          CPPUNIT_ASSERT_MESSAGE(path, decode(changed));
          parent[pointer.back()] = valid.at(pointer);
          CPPUNIT_ASSERT_MESSAGE(path, !decode(changed));
          parent["extra"] = 1;
          CPPUNIT_ASSERT_MESSAGE(path, decode(changed));
        }
      }
    });
    Section("numbers outside their range are refused", [&] {
      nlohmann::json changed = valid;
      changed["action"]["databases"][0]["slots"] = 1ULL << 32U;
      CPPUNIT_ASSERT(decode(changed));
      changed["action"]["databases"][0]["slots"] = -1;
      CPPUNIT_ASSERT(decode(changed));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace mustardshift

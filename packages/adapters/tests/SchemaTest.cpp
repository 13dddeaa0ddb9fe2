#include "adapters/schema/SchemaReader.h"
#include "adapters/schema/SchemaWriter.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <rapidcheck.h>

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

constexpr std::uint64_t kPropertySeed = 20240611;

const std::string kHash = std::string(64, 'a');

const std::string kComplete = R"(organisations:
  - name: ferries
    rate: 12.5
    burst: 40
    weight: 3
    keys:
      - {name: office, hash: )" +
                              kHash +
                              R"(}
  - {name: lodges, rate: 1, burst: 1}
databases:
  - name: bookings
    slots: 3
    connection_limit: 20
    servers:
      - {address: "10.0.1.1:5400", failure_domain: fd-1}
      - {address: "10.0.2.1:5400", failure_domain: fd-2}
      - {address: "10.0.3.1:5400", failure_domain: fd-3}
routes:
  - {name: sell, organisation: ferries, database: bookings}
  - {name: offers, public: true, database: bookings, freshness: 250ms}
)";

std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  CPPUNIT_ASSERT_MESSAGE(aFrom, at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

struct BadInput
{
  std::string from;
  std::string to;
  /** Expected start of the single fault. */
  std::string fault;
};

/** Names, with a share of those that YAML reads as something else than text. */
rc::Gen<std::string> GenerateName()
{
  const auto plain = rc::gen::map(rc::gen::nonEmpty(rc::gen::container<std::string>(
                                    rc::gen::elementOf(std::string("abcxyzABCXYZ0123456789._-")))),
                                  [](const std::string& aText) { return aText.substr(0, 64); });
  const auto special = rc::gen::element<std::string>(
    "null", "NULL", "true", "no", "-", "--", "---", "...", ".", ".inf", "1e3", "0x1f", "_");
  return rc::gen::weightedOneOf<std::string>({ { 3, plain }, { 1, special } });
}

/** A configuration that the reader accepts. */
Configuration GenerateConfiguration()
{
  const auto names = [] {
    return *rc::gen::resize(8, rc::gen::unique<std::vector<std::string>>(GenerateName()));
  };
  const auto number = [](int aLow, int aHigh) { return *rc::gen::inRange(aLow, aHigh); };
  Configuration configuration;
  int hashes = 0;
  for (const std::string& name : names()) {
    Organisation organisation{
      OrganisationName(name), number(1, 1'000'000) / 100.0, 1 + number(0, 100'000) / 7.0, 1, {}
    };
    organisation.weight = static_cast<unsigned>(number(1, 1001));
    for (const std::string& key : names()) {
      std::string hash = std::to_string(++hashes);
      organisation.keys.push_back(ApiKey{ key, std::string(64 - hash.size(), '0') + hash });
    }
    configuration.organisations.push_back(organisation);
  }
  int servers = 0;
  for (const std::string& name : names()) {
    DatabaseGroup database;
    database.name = DatabaseName(name);
    database.slots = static_cast<std::uint32_t>(number(1, 10'001));
    database.connectionLimit = static_cast<std::uint32_t>(number(1, 100'001));
    for (int i = 0; i < 3; ++i) {
      database.servers.push_back(
        DatabaseServer{ ServerAddress("10.0.0.1:" + std::to_string(++servers)),
                        FailureDomainName(*GenerateName()) });
    }
    configuration.databases.push_back(database);
  }
  if (configuration.databases.empty()) {
    return configuration;
  }
  for (const std::string& name : names()) {
    Route route;
    route.name = RouteName(name);
    route.isPublic = configuration.organisations.empty() || *rc::gen::arbitrary<bool>();
    if (!route.isPublic) {
      route.organisation = (*rc::gen::elementOf(configuration.organisations)).name;
    }
    route.database = (*rc::gen::elementOf(configuration.databases)).name;
    route.freshness = Duration(std::int64_t{ number(0, 3'000'000) } * *rc::gen::element(1, 1000));
    configuration.routes.push_back(route);
  }
  return configuration;
}

/** Tells whether a text reads back to the lists of a configuration. */
bool ReadsBackEqual(const std::string& aText, const Configuration& aConfiguration)
{
  const auto schema = SchemaReader().ReadText(aText, "written.yaml");
  if (!schema.has_value()) {
    RC_LOG() << ToString(schema.error()) << "\n" << aText;
    return false;
  }
  Configuration empty = aConfiguration;
  empty.organisations.clear();
  empty.routes.clear();
  empty.databases.clear();
  return schema->ApplyTo(empty) == aConfiguration;
}

} // namespace

/** Guards against a schema that takes effect other than it was written: a fault in the file that is
    overlooked, a reference into nothing, and entries lost when a schema is shown and applied
    again. */
class SchemaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SchemaTest);
  CPPUNIT_TEST(ReadsCompleteSchema);
  CPPUNIT_TEST(NamesEachFault);
  CPPUNIT_TEST(HidesValuesThatMayBeKeys);
  CPPUNIT_TEST(KeepsWhatTheFileDoesNotSay);
  CPPUNIT_TEST(WrittenSchemaReadsBackEqual);
  CPPUNIT_TEST(ReadBackCheckFindsALostEntry);
  CPPUNIT_TEST(ReadsTheExamples);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsCompleteSchema()
  {
    const auto schema = SchemaReader().ReadText(kComplete, "schema.yaml");
    CPPUNIT_ASSERT_MESSAGE(schema ? "" : ToString(schema.error()), schema.has_value());
    Section("organisations", [&] {
      const Organisation ferries{
        OrganisationName("ferries"), 12.5, 40, 3, { ApiKey{ "office", kHash } }
      };
      CPPUNIT_ASSERT(schema->organisations[0] == ferries);
      CPPUNIT_ASSERT_EQUAL(1u, schema->organisations[1].weight);
      CPPUNIT_ASSERT(schema->organisationsKeepingKeys ==
                     std::set<OrganisationName>{ OrganisationName("lodges") });
    });
    Section("databases", [&] {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, schema->databases.size());
      CPPUNIT_ASSERT_EQUAL(3u, schema->databases[0].slots);
      CPPUNIT_ASSERT_EQUAL(20u, schema->databases[0].connectionLimit);
      const DatabaseServer third{ ServerAddress("10.0.3.1:5400"), FailureDomainName("fd-3") };
      CPPUNIT_ASSERT(schema->databases[0].servers[2] == third);
    });
    Section("routes", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("ferries"), schema->routes[0].organisation.Text());
      CPPUNIT_ASSERT(schema->routes[0].freshness == Duration(0));
      CPPUNIT_ASSERT(schema->routes[1].isPublic);
      CPPUNIT_ASSERT(schema->routes[1].freshness == std::chrono::milliseconds(250));
    });
  }

  void NamesEachFault()
  {
    const std::vector<BadInput> table{
      { "rate: 12.5",
        "rate: 0",
        "s.yaml:3: organisations[0].rate: \"0\" is out of range, expected a number from 0.01" },
      { "rate: 12.5", "rate: -1", "s.yaml:3: organisations[0].rate: \"-1\" is out of range" },
      { "rate: 12.5", "rate: nan", "s.yaml:3: organisations[0].rate: \"nan\" is no such number" },
      { "rate: 12.5", "rate: many", "s.yaml:3: organisations[0].rate: \"many\" is no such number" },
      { "burst: 40",
        "burst: 0.5",
        "s.yaml:4: organisations[0].burst: \"0.5\" is out of range, expected a number from 1" },
      { "weight: 3",
        "weight: 0",
        "s.yaml:5: organisations[0].weight: 0 is out of range, expected a whole number from 1" },
      { "weight: 3",
        "wieght: 3",
        "s.yaml:5: organisations[0].wieght: unknown key, expected one of name, rate" },
      { "name: lodges",
        "name: ferries",
        "s.yaml:8: organisations[1].name: \"ferries\" stands in line 2 already" },
      { "burst: 1}",
        "burst: 1, keys: [{name: b, hash: " + kHash + "}]}",
        "s.yaml:8: organisations[1].keys[0].hash: \"" + kHash + "\" stands in line 7 already" },
      { "- {name: office",
        "- {name: office, hash: " + std::string(64, 'b') + "}\n      - {name: office",
        "s.yaml:8: organisations[0].keys[1].name: \"office\" stands in line 7 already" },
      { "slots: 3",
        "slots: 0",
        "s.yaml:11: databases[0].slots: 0 is out of range, expected a whole number from 1" },
      { "    slots: 3\n", "", "s.yaml:10: databases[0].slots: missing, expected a whole number" },
      { "connection_limit: 20",
        "connection_limit: 0",
        "s.yaml:12: databases[0].connection_limit: 0 is out of range" },
      { "      - {address: \"10.0.3.1:5400\", failure_domain: fd-3}\n",
        "",
        "s.yaml:13: databases[0].servers: has 2 servers, expected 3" },
      { "10.0.3.1",
        "10.0.1.1",
        "s.yaml:16: databases[0].servers[2].address: \"10.0.1.1:5400\" stands in line 14 already" },
      { "\"10.0.3.1:5400\"",
        "db.example",
        "s.yaml:16: databases[0].servers[2].address: \"db.example\" is no address" },
      { ", failure_domain: fd-3",
        "",
        "s.yaml:16: databases[0].servers[2].failure_domain: missing" },
      { "organisation: ferries",
        "organisation: buses",
        "s.yaml:18: routes[0].organisation: \"buses\" does not exist, expected a name from "
        "organisations" },
      { "organisation: ferries, ",
        "",
        "s.yaml:18: routes[0].organisation: missing, expected an organisation or \"public: "
        "true\"" },
      { "organisation: ferries",
        "organisation: ferries, public: true",
        "s.yaml:18: routes[0].organisation: given although the route is public" },
      { "public: true",
        "public: yes",
        "s.yaml:19: routes[1].public: \"yes\" is neither, expected true or false" },
      { "database: bookings}",
        "database: payments}",
        "s.yaml:18: routes[0].database: \"payments\" does not exist" },
      { "name: offers",
        "name: sell",
        "s.yaml:19: routes[1].name: \"sell\" stands in line 18 already" },
      { "250ms",
        "250",
        "s.yaml:19: routes[1].freshness: \"250\" is no span of time, expected a span of time from "
        "0s to 60min, such as 250ms" },
      { "250ms", "-1s", "s.yaml:19: routes[1].freshness: \"-1s\" is no span of time" },
      { "250ms",
        "99999999999999999999s",
        "s.yaml:19: routes[1].freshness: \"99999999999999999999s\" is no span" },
      { "250ms",
        "9000000000000000min",
        "s.yaml:19: routes[1].freshness: \"9000000000000000min\" is no span" },
      { "250ms", "2h", "s.yaml:19: routes[1].freshness: \"2h\" is no span" },
      { "250ms", "61min", "s.yaml:19: routes[1].freshness: 61min is out of range" },
      { "routes:", "roads:\nroutes:", "s.yaml:17: roads: unknown key" },
    };
    for (const BadInput& entry : table) {
      Section(entry.fault, [&] {
        const auto schema =
          SchemaReader().ReadText(Replaced(kComplete, entry.from, entry.to), "s.yaml");
        CPPUNIT_ASSERT(!schema.has_value());
        const std::string faults = ToString(schema.error());
        CPPUNIT_ASSERT_MESSAGE(faults, faults.starts_with(entry.fault));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, std::size_t{ 1 }, schema.error().size());
      });
    }
    Section("a file that lacks a list does not empty it", [] {
      const std::string text = kComplete.substr(0, kComplete.find("routes:"));
      const auto schema = SchemaReader().ReadText(text, "s.yaml");
      CPPUNIT_ASSERT(!schema.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("s.yaml:1: routes: missing, expected a list"),
                           ToString(schema.error()));
    });
  }

  void HidesValuesThatMayBeKeys()
  {
    const auto schema =
      SchemaReader().ReadText(Replaced(kComplete, kHash, "a-key-pasted-by-mistake"), "s.yaml");
    CPPUNIT_ASSERT(!schema.has_value());
    CPPUNIT_ASSERT(ToString(schema.error()).find("pasted") == std::string::npos);
  }

  void KeepsWhatTheFileDoesNotSay()
  {
    const auto schema = SchemaReader().ReadText(kComplete, "s.yaml");
    CPPUNIT_ASSERT(schema.has_value());
    Configuration present;
    present.version = 7;
    present.tokenSecret = "secret";
    present.drainedFailureDomains.insert(FailureDomainName("fd-2"));
    DatabaseGroup bookings;
    bookings.name = DatabaseName("bookings");
    bookings.inService = false;
    present.databases.push_back(bookings);
    const ApiKey given{ "given", std::string(64, 'c') };
    present.organisations = { { OrganisationName("ferries"), 1, 1, 1, { given } },
                              { OrganisationName("lodges"), 1, 1, 1, { given } },
                              { OrganisationName("gone"), 1, 1, 1, { given } } };
    const Configuration next = schema->ApplyTo(present);
    Section("what is drained stays drained", [&] {
      CPPUNIT_ASSERT(!next.databases[0].inService);
      CPPUNIT_ASSERT(next.drainedFailureDomains == present.drainedFailureDomains);
    });
    Section("keys stay where the file names none",
            [&] { CPPUNIT_ASSERT(next.organisations[1].keys == std::vector<ApiKey>{ given }); });
    Section("keys are replaced where the file names some", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("office"), next.organisations[0].keys[0].name);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, next.organisations[0].keys.size());
    });
    Section("an organisation that the file lacks is removed",
            [&] { CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, next.organisations.size()); });
    Section("version and secret stay", [&] {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, next.version);
      CPPUNIT_ASSERT_EQUAL(std::string("secret"), next.tokenSecret);
    });
  }

  void WrittenSchemaReadsBackEqual()
  {
    rc::detail::TestMetadata metadata;
    metadata.id = "a written schema reads back equal";
    rc::detail::TestParams parameters;
    parameters.seed = kPropertySeed;
    const auto result = rc::detail::checkTestable(
      [] {
        const Configuration configuration = GenerateConfiguration();
        RC_ASSERT(ReadsBackEqual(SchemaWriter().WriteText(configuration), configuration));
      },
      metadata,
      parameters);
    std::ostringstream report;
    rc::detail::printResultMessage(result, report);
    CPPUNIT_ASSERT_MESSAGE(report.str(), result.is<rc::detail::SuccessResult>());
  }

  void ReadBackCheckFindsALostEntry()
  {
    const Configuration configuration =
      SchemaReader().ReadText(kComplete, "s.yaml")->ApplyTo(Configuration{});
    CPPUNIT_ASSERT(ReadsBackEqual(SchemaWriter().WriteText(configuration), configuration));
    // A writer that forgets the last route or one key.
    Configuration broken = configuration;
    broken.routes.pop_back();
    CPPUNIT_ASSERT(!ReadsBackEqual(SchemaWriter().WriteText(broken), configuration));
    broken = configuration;
    broken.organisations[0].keys.clear();
    CPPUNIT_ASSERT(!ReadsBackEqual(SchemaWriter().WriteText(broken), configuration));
  }

  void ReadsTheExamples()
  {
    for (const std::string name : { "kigali", "aqaba" }) {
      Section(name, [&] {
        const auto schema =
          SchemaReader().ReadFile(MUSTARDSHIFT_SOURCE_DIR "/examples/" + name + ".yaml");
        CPPUNIT_ASSERT_MESSAGE(schema ? "" : ToString(schema.error()), schema.has_value());
        std::set<FailureDomainName> failureDomains;
        for (const DatabaseGroup& database : schema->databases) {
          for (const DatabaseServer& server : database.servers) {
            failureDomains.insert(server.failureDomain);
          }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, failureDomains.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, schema->databases.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, schema->organisations.size());
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchemaTest);

} // namespace mustardshift

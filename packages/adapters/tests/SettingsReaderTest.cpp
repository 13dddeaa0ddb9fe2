#include "adapters/settings/SettingsReader.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

const std::string kComplete = R"(vm: vm-a
failure_domain: fd-1
caller_address: 127.0.3.1:7000
operator_address: 127.0.3.1:7001
peer_address: 127.0.3.1:7002
metrics_address: 127.0.3.1:7003
platform_address: 127.0.2.1:6000
peers:
  - {vm: vm-b, address: "127.0.3.2:7002", failure_domain: fd-2}
  - {vm: vm-c, address: "[::1]:7002", failure_domain: fd-3}
tls:
  certificate: /etc/mustardshift/vm.pem
  key: /etc/mustardshift/vm.key
  ca: /etc/mustardshift/ca.pem
log_level: warning
tunables:
  connection_open_ahead: 5
  transaction_timeout_ms: 3000
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

} // namespace

/** Guards against a daemon that starts with settings the operator did not mean: an ignored key, a
    wrong type or range taken as a default, or a fault that names no line. */
class SettingsReaderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsReaderTest);
  CPPUNIT_TEST(ReadsCompleteSettings);
  CPPUNIT_TEST(AppliesDefaults);
  CPPUNIT_TEST(ExampleShowsTheDefaults);
  CPPUNIT_TEST(NamesEachFault);
  CPPUNIT_TEST(CollectsAllFaults);
  CPPUNIT_TEST(ReportsUnreadableFiles);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsCompleteSettings()
  {
    const auto settings = SettingsReader().ReadText(kComplete, "vm.yaml");
    CPPUNIT_ASSERT_MESSAGE(settings ? "" : ToString(settings.error()), settings.has_value());
    Section("names and addresses", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("vm-a"), settings->vm.Text());
      CPPUNIT_ASSERT_EQUAL(std::string("fd-1"), settings->failureDomain.Text());
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.3.1:7000"), settings->callerAddress);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.3.1:7001"), settings->operatorAddress);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.3.1:7002"), settings->peerAddress);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.3.1:7003"), settings->metricsAddress);
      CPPUNIT_ASSERT_EQUAL(std::string("127.0.2.1:6000"), settings->platformAddress);
    });
    Section("peers", [&] {
      const PeerSettings second{ VmId("vm-c"), "[::1]:7002", FailureDomainName("fd-3") };
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, settings->peers.size());
      CPPUNIT_ASSERT(settings->peers[1] == second);
    });
    Section("tls, log level and tunables", [&] {
      CPPUNIT_ASSERT(settings->tls.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("/etc/mustardshift/vm.key"), settings->tls->key);
      CPPUNIT_ASSERT(settings->logLevel == LogLevel::Warning);
      CPPUNIT_ASSERT_EQUAL(5u, settings->tunables.connectionOpenAhead);
      CPPUNIT_ASSERT(settings->tunables.transactionTimeout == std::chrono::seconds(3));
      CPPUNIT_ASSERT(settings->tunables.shutdownTimeout == Tunables{}.shutdownTimeout);
    });
  }

  void AppliesDefaults()
  {
    const std::string text = kComplete.substr(0, kComplete.find("peers:"));
    const auto settings = SettingsReader().ReadText(text, "vm.yaml");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(settings->peers.empty());
    CPPUNIT_ASSERT(!settings->tls.has_value());
    CPPUNIT_ASSERT(settings->logLevel == LogLevel::Info);
    CPPUNIT_ASSERT(settings->tunables == Tunables{});
  }

  void ExampleShowsTheDefaults()
  {
    const auto settings = SettingsReader().ReadFile(MUSTARDSHIFT_SOURCE_DIR "/examples/vm.yaml");
    CPPUNIT_ASSERT_MESSAGE(settings ? "" : ToString(settings.error()), settings.has_value());
    CPPUNIT_ASSERT(settings->tunables == Tunables{});
    CPPUNIT_ASSERT(settings->logLevel == LogLevel::Info);
  }

  void NamesEachFault()
  {
    const std::vector<BadInput> table{
      { "vm: vm-a", "vm:", "vm.yaml:1: vm: is empty, expected a name" },
      { "vm: vm-a", "vm: [a]", "vm.yaml:1: vm: is a list, expected a name" },
      { "vm: vm-a", "vm: a b", "vm.yaml:1: vm: \"a b\" is no name, expected a name of 1 to 64" },
      { "failure_domain: fd-1\n", "", "vm.yaml:1: failure_domain: missing, expected a name" },
      { "caller_address: ",
        "caler_address: 1\ncaller_address: ",
        "vm.yaml:3: caler_address: unknown key, expected one of vm, failure_domain" },
      { "caller_address: ",
        "vm: b\ncaller_address: ",
        "vm.yaml:3: vm: repeats the key of line 1, expected each key once" },
      { "127.0.3.1:7000",
        "127.0.3.1",
        "vm.yaml:3: caller_address: \"127.0.3.1\" is no address, expected an address such as" },
      { "127.0.3.1:7000",
        "127.0.3.1:0",
        "vm.yaml:3: caller_address: \"127.0.3.1:0\" is no address" },
      { "127.0.3.1:7000",
        "127.0.3.1:70000",
        "vm.yaml:3: caller_address: \"127.0.3.1:70000\" is no address" },
      { "127.0.3.1:7000", "host:7000", "vm.yaml:3: caller_address: \"host:7000\" is no address" },
      { "127.0.3.1:7001",
        "127.0.3.1:7000",
        "vm.yaml:4: operator_address: 127.0.3.1:7000 is used by caller_address already" },
      { "vm: vm-b", "vm: vm-a", "vm.yaml:9: peers[0].vm: \"vm-a\" is the name of this VM already" },
      { "127.0.3.2:7002",
        "[::1]:7002",
        "vm.yaml:10: peers[1].address: [::1]:7002 is the address of peers[0] already" },
      { ", failure_domain: fd-2", "", "vm.yaml:9: peers[0].failure_domain: missing" },
      { "- {vm: vm-b, address: \"127.0.3.2:7002\", failure_domain: fd-2}",
        "- vm-b",
        "vm.yaml:9: peers[0]: is a value, expected a map with the keys vm, address" },
      { "  key: /etc/mustardshift/vm.key\n", "", "vm.yaml:12: tls.key: missing, expected text" },
      { "warning", "loud", "vm.yaml:15: log_level: \"loud\" is no level, expected debug, info" },
      { "ahead: 5",
        "ahead: five",
        "vm.yaml:17: tunables.connection_open_ahead: \"five\" is no such number, expected a whole "
        "number from 0 to 1000" },
      { "ahead: 5",
        "ahead: -1",
        "vm.yaml:17: tunables.connection_open_ahead: \"-1\" is no such number" },
      { "ahead: 5",
        "ahead: 5.5",
        "vm.yaml:17: tunables.connection_open_ahead: \"5.5\" is no such number" },
      { "ahead: 5",
        "ahead: \"5\"",
        "vm.yaml:17: tunables.connection_open_ahead: is quoted text, expected a whole" },
      { "ahead: 5",
        "ahead: 1001",
        "vm.yaml:17: tunables.connection_open_ahead: 1001 is out of range" },
      { "timeout_ms: 3000",
        "timeout_ms: 60000",
        "vm.yaml:17: tunables.shutdown_timeout_ms: 15s is too short, expected at least" },
      { "transaction_timeout_ms: 3000",
        "suspicion_timeout_ms: 399",
        "vm.yaml:18: tunables.suspicion_timeout_ms: 399ms is too short, expected at least twice" },
      { "vm: vm-a", "vm: {", "vm.yaml:3: this is not YAML: " },
      { "log_level",
        "---\nlog_level",
        "vm.yaml:15: a second YAML document starts here, expected one" },
    };
    for (const BadInput& entry : table) {
      Section(entry.fault, [&] {
        const auto settings =
          SettingsReader().ReadText(Replaced(kComplete, entry.from, entry.to), "vm.yaml");
        CPPUNIT_ASSERT(!settings.has_value());
        const std::string faults = ToString(settings.error());
        CPPUNIT_ASSERT_MESSAGE(faults, faults.starts_with(entry.fault));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(faults, std::size_t{ 1 }, settings.error().size());
      });
    }
    for (const std::string text : { "", "# nothing\n", "- a\n", "text\n" }) {
      Section("a file without a map: " + text,
              [&] { CPPUNIT_ASSERT(!SettingsReader().ReadText(text, "vm.yaml").has_value()); });
    }
  }

  void CollectsAllFaults()
  {
    std::string text = Replaced(kComplete, "vm: vm-a\n", "");
    text = Replaced(text, "127.0.2.1:6000", "platform");
    text = Replaced(text, "warning", "loud");
    const auto settings = SettingsReader().ReadText(text, "vm.yaml");
    CPPUNIT_ASSERT(!settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, settings.error().size());
    CPPUNIT_ASSERT_EQUAL(std::string("vm"), settings.error()[0].key);
    CPPUNIT_ASSERT_EQUAL(std::string("platform_address"), settings.error()[1].key);
    CPPUNIT_ASSERT_EQUAL(std::string("log_level"), settings.error()[2].key);
  }

  void ReportsUnreadableFiles()
  {
    for (const std::string path : { "/nonexistent/vm.yaml", "/" }) {
      const auto settings = SettingsReader().ReadFile(path);
      CPPUNIT_ASSERT(!settings.has_value());
      CPPUNIT_ASSERT(settings.error()[0].ToString().starts_with(path + ": the file can't be "));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsReaderTest);

} // namespace mustardshift

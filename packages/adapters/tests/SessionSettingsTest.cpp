#include "adapters/settings/SessionSettingsReader.h"
#include "support/Section.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>

namespace mustardshift {

using std::chrono::seconds;
using test::Section;

namespace {

const std::string kGood = R"(vm: front-kigali-a-1
failure_domain: kigali-a
sessions_address: 10.1.0.26:8465
readiness_address: 10.1.0.26:8460
peer_address: 10.1.0.26:7560
store_address: 10.200.1.7:8466
orders_address: 10.200.0.2:8466
withdrawn_key_bound: 5000ms
evacuation_bound: 5s
shutdown_grace: 6s
rate_window: 5s
rate_overshoot: 0.1
rate_slack: 20
)";

/** Values for the placeholders of deploy/vm.yaml. */
const std::map<std::string, std::string> kTemplateValues{
  { "node_name", "front-kigali-a-1" },
  { "zone", "kigali-a" },
  { "ip", "10.1.0.26" },
  { "port_range.0", "7560" },
  { "port_range.1", "7561" },
  { "limits.cpu_share", "0.25" },
  { "#zones}}{{@}}{{,}}{{/zones", "kigali-a,kigali-b" },
  { "listen.front", "10.1.0.26:8465" },
  { "listen.readiness", "10.1.0.26:8460" },
  { "platform.address", "10.200.1.7:8466" },
  { "cloud.address", "10.200.0.2:8466" },
  { "bounds.revoke_ms", "5000" },
  { "bounds.evacuate_ms", "5000" },
  { "bounds.grace_s", "6" },
  { "bounds.quota_window_s", "5" },
  { "bounds.quota_overshoot", "0.1" },
  { "bounds.quota_slack", "20" },
};

std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t place = aText.find(aFrom);
  CPPUNIT_ASSERT(place != std::string::npos);
  return aText.replace(place, aFrom.size(), aTo);
}

} // namespace

/** Guards against a daemon that starts with settings that nobody meant, and against a deploy
   template that the daemon refuses. */
class SessionSettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SessionSettingsTest);
  CPPUNIT_TEST(ReadsAllSettings);
  CPPUNIT_TEST(ReportsFaultsTogether);
  CPPUNIT_TEST(AcceptsTheDeployTemplate);
  CPPUNIT_TEST(StartsWithoutOptionalValues);
  CPPUNIT_TEST(TakesSettingsFromTheEnvironment);
  CPPUNIT_TEST(ReadsFractions);
  CPPUNIT_TEST(ReadsClientLimits);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsAllSettings()
  {
    const auto settings = SessionSettingsReader{}.ReadText(kGood, "test");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("front-kigali-a-1"), settings->vm.Text());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.26:7560"), settings->peerAddress);
    CPPUNIT_ASSERT(settings->metricsAddress.empty());
    CPPUNIT_ASSERT(settings->withdrawnKeyBound == seconds(5));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, settings->rateOvershoot, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(20, settings->rateSlack, 1e-9);
    Section("without a tolerance rates are kept as configured", [] {
      const auto strict = SessionSettingsReader{}.ReadText(
        Replaced(Replaced(kGood, "rate_overshoot: 0.1\n", ""), "rate_slack: 20\n", ""), "test");
      CPPUNIT_ASSERT(strict.has_value());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0, strict->rateOvershoot, 1e-9);
      CPPUNIT_ASSERT_DOUBLES_EQUAL(0, strict->rateSlack, 1e-9);
    });
  }

  /** Guards against limits that are read in another unit, or that no client could keep to. */
  void ReadsClientLimits()
  {
    const auto settings = SessionSettingsReader{}.ReadText(kGood + "client_start_timeout: 7s\n"
                                                                   "client_line_timeout: 20s\n"
                                                                   "client_answer_timeout: 120s\n"
                                                                   "client_progress_grace: 3s\n"
                                                                   "client_min_rate_kb: 16\n"
                                                                   "session_state_limit_kb: 2048\n"
                                                                   "result_limit_mb: 8\n"
                                                                   "descriptor_reserve: 300\n"
                                                                   "http_connection_limit: 20\n"
                                                                   "peer_connection_limit: 90\n"
                                                                   "http_request_timeout: 4s\n"
                                                                   "http_idle_timeout: 30s\n"
                                                                   "attached_vm_limit: 100\n",
                                                           "test");
    CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().front().ToString(),
                           settings.has_value());
    CPPUNIT_ASSERT(settings->clientStartTimeout == seconds(7));
    CPPUNIT_ASSERT(settings->clientLineTimeout == seconds(20));
    CPPUNIT_ASSERT(settings->clientAnswerTimeout == seconds(120));
    CPPUNIT_ASSERT(settings->clientProgressGrace == seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(16), settings->clientMinRateKb);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2048), settings->sessionStateLimitKb);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), settings->resultLimitMb);
    CPPUNIT_ASSERT(settings->descriptorReserve == std::size_t(300));
    CPPUNIT_ASSERT(settings->httpConnectionLimit == std::size_t(20));
    CPPUNIT_ASSERT(settings->peerConnectionLimit == std::size_t(90));
    CPPUNIT_ASSERT(settings->httpRequestTimeout == seconds(4));
    CPPUNIT_ASSERT(settings->httpIdleTimeout == seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), settings->attachedVmLimit);
    Section("each is checked", [] {
      for (const char* line : { "client_start_timeout: 10",
                                "client_line_timeout: 0s",
                                "client_min_rate_kb: 0",
                                "session_state_limit_kb: 1024",
                                "result_limit_mb: 1",
                                "descriptor_reserve: 1",
                                "http_connection_limit: 0",
                                "attached_vm_limit: 0" }) {
        CPPUNIT_ASSERT_MESSAGE(
          line, !SessionSettingsReader{}.ReadText(kGood + line + "\n", "test").has_value());
      }
    });
  }

  void ReportsFaultsTogether()
  {
    std::string bad = Replaced(kGood, "10.1.0.26:8465", "10.1.0.26");
    bad = Replaced(bad, "5000ms", "5000");
    bad = Replaced(bad, "rate_overshoot: 0.1", "rate_overshoot: 7");
    bad = Replaced(bad, "vm: front-kigali-a-1", "wm: front-kigali-a-1");
    const auto settings = SessionSettingsReader{}.ReadText(bad, "test");
    CPPUNIT_ASSERT(!settings.has_value());
    // An address, a span, a number, a missing key and an unknown one.
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), settings.error().size());
    for (const char* text : { "", "[]", "vm: {", "vm: a\nvm: b\n" }) {
      CPPUNIT_ASSERT(!SessionSettingsReader{}.ReadText(text, "test"));
    }
    CPPUNIT_ASSERT(!SessionSettingsReader{}.ReadFile("/nowhere/settings.yaml"));
  }

  void AcceptsTheDeployTemplate()
  {
    const auto settings = ReadFilled(kTemplateValues);
    CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().front().ToString(),
                           settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.1.0.26:7561"), settings->metricsAddress);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), settings->failureDomains.size());
    CPPUNIT_ASSERT_EQUAL(std::string("kigali-b"), settings->failureDomains[1].Text());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, settings->processorShare, 1e-9);
  }

  /** Guards against VMs that end at their start because a deployment gives no value for a setting:
      the deployments without evacuations left "evacuation_bound: ms" behind, and no VM started. */
  void StartsWithoutOptionalValues()
  {
    const std::set<std::string> requiredValues{ "node_name", "listen.front", "platform.address" };
    std::map<std::string, std::string> requiredOnly = kTemplateValues;
    Section("each value alone", [&] {
      for (const auto& [name, value] : kTemplateValues) {
        std::map<std::string, std::string> values = kTemplateValues;
        values[name] = "";
        const auto settings = ReadFilled(values);
        if (requiredValues.contains(name)) {
          CPPUNIT_ASSERT_MESSAGE(name, !settings);
          continue;
        }
        CPPUNIT_ASSERT_MESSAGE(name + (settings ? "" : ": " + settings.error().front().ToString()),
                               settings.has_value());
        CPPUNIT_ASSERT_MESSAGE(name, !settings->defaulted.empty());
        requiredOnly[name] = "";
      }
    });
    Section("all optional values at once: each is named with its default", [&] {
      const auto settings = ReadFilled(requiredOnly);
      CPPUNIT_ASSERT_MESSAGE(settings ? "" : settings.error().front().ToString(),
                             settings.has_value());
      SessionSettings expected;
      expected.vm = VmId("front-kigali-a-1");
      expected.failureDomain = FailureDomainName("default");
      expected.sessionsAddress = "10.1.0.26:8465";
      expected.storeAddress = "10.200.1.7:8466";
      expected.defaulted = settings->defaulted;
      CPPUNIT_ASSERT(expected == *settings);
      CPPUNIT_ASSERT_EQUAL(std::size_t(31), settings->defaulted.size());
      const auto named = [&](const std::string& aKey) {
        for (const DefaultedSetting& setting : settings->defaulted) {
          if (setting.key == aKey) {
            return setting.value;
          }
        }
        return std::string("not named");
      };
      CPPUNIT_ASSERT_EQUAL(std::string("5s"), named("evacuation_bound"));
      CPPUNIT_ASSERT_EQUAL(std::string("1.0"), named("processor_share"));
      CPPUNIT_ASSERT_EQUAL(std::string("none"), named("orders_address"));
      CPPUNIT_ASSERT_EQUAL(std::string("160"), named("memory_limit_mb"));
      CPPUNIT_ASSERT_EQUAL(std::string("10s"), named("client_start_timeout"));
      CPPUNIT_ASSERT_EQUAL(std::string("4096"), named("session_state_limit_kb"));
      CPPUNIT_ASSERT_EQUAL(std::string("derived"), named("descriptor_reserve"));
    });
    Section("a value that is there and wrong is an error with its line", [&] {
      for (const auto& [name, wrong] : std::map<std::string, std::string>{
             { "bounds.evacuate_ms", "soon" },
             { "bounds.quota_slack", "many" },
             { "limits.cpu_share", "-1" },
             { "cloud.address", "10.200.0.2" },
             { "port_range.0", "99999" },
           }) {
        std::map<std::string, std::string> values = kTemplateValues;
        values[name] = wrong;
        const auto settings = ReadFilled(values);
        CPPUNIT_ASSERT_MESSAGE(name, !settings);
        CPPUNIT_ASSERT_MESSAGE(name, settings.error().front().line > 0);
      }
    });
  }

  /** Guards against settings that only some deployments have getting lost: the template can't hold
      them, because every value that it asks for has to be known wherever it is filled in. */
  void TakesSettingsFromTheEnvironment()
  {
    SessionSettingsReader::Environment environment{
      { "MUSTARDSHIFT_USAGE_WINDOW", "5s" },       { "MUSTARDSHIFT_USAGE_DEADLINE", "s" },
      { "MUSTARDSHIFT_MEMORY_LIMIT_MB", "512" },   { "MUSTARDSHIFT_DESCRIPTOR_LIMIT", "8192" },
      { "MUSTARDSHIFT_RATE_WINDOW", "7s" },        { "MUSTARDSHIFT_CONFIG", "/etc/settings.toml" },
      { "MUSTARDSHIFT_UNKNOWN", "is left alone" },
    };
    const auto settings = SessionSettingsReader{}.ReadText(kGood, "test", environment);
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(settings->usageWindow == seconds(5));
    CPPUNIT_ASSERT(settings->usageDeadline == SessionSettings{}.usageDeadline);
    CPPUNIT_ASSERT_EQUAL(std::size_t(512), settings->memoryLimitMb);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8192), settings->descriptorLimit);
    Section("the file goes first", [&] { CPPUNIT_ASSERT(settings->rateWindow == seconds(5)); });
    Section("a wrong value is an error", [&] {
      environment["MUSTARDSHIFT_USAGE_WINDOW"] = "often";
      const auto wrong = SessionSettingsReader{}.ReadText(kGood, "test", environment);
      CPPUNIT_ASSERT(!wrong);
      CPPUNIT_ASSERT_EQUAL(std::string("usage_window"), wrong.error().front().key);
    });
  }

  /** Guards against VMs that refuse a bound which a deployment states as a fraction. */
  void ReadsFractions()
  {
    std::map<std::string, std::string> values = kTemplateValues;
    values["bounds.revoke_ms"] = "5000.0";
    values["bounds.grace_s"] = "6.5";
    const auto settings = ReadFilled(values);
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT(settings->withdrawnKeyBound == seconds(5));
    CPPUNIT_ASSERT(settings->shutdownGrace == std::chrono::milliseconds(6500));
    for (const char* wrong : { "1.2.3", ".5", "5.", "1e3", "9999999999999999.5" }) {
      values["bounds.grace_s"] = wrong;
      CPPUNIT_ASSERT_MESSAGE(wrong, !ReadFilled(values));
    }
  }

private:
  /** Reads deploy/vm.yaml with these values in the places of its placeholders. */
  static tl::expected<SessionSettings, InputErrors> ReadFilled(
    const std::map<std::string, std::string>& aValues)
  {
    std::ifstream file(std::string(MUSTARDSHIFT_SOURCE_DIR) + "/deploy/vm.yaml");
    std::stringstream text;
    text << file.rdbuf();
    std::string filled = text.str();
    for (const auto& [name, value] : aValues) {
      const std::string placeholder = "{{" + name + "}}";
      for (std::size_t place = filled.find(placeholder); place != std::string::npos;
           place = filled.find(placeholder)) {
        filled.replace(place, placeholder.size(), value);
      }
    }
    CPPUNIT_ASSERT(filled.find("{{") == std::string::npos);
    return SessionSettingsReader{}.ReadText(filled, "deploy/vm.yaml");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionSettingsTest);

} // namespace mustardshift

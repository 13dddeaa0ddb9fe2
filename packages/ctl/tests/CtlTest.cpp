#include "ctl/Ctl.h"

#include "FakeOperatorService.h"
#include "ctl/ApiKeyGenerator.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <openssl/sha.h>

#include <array>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift {

using test::FakeOperatorService;
using test::Section;

namespace {

const std::string kExample = MUSTARDSHIFT_SOURCE_DIR "/examples/kigali.yaml";

struct Result
{
  int code = 0;
  std::string out;
  std::string error;
};

/** Runs a command, with words separated by spaces. */
Result Run(const std::string& aCommand,
           const std::vector<std::string>& aVms,
           const std::string& aTimeout = "10s")
{
  std::vector<std::string> arguments{ "--timeout=" + aTimeout };
  for (const std::string& vm : aVms) {
    arguments.push_back("--vm=" + vm);
  }
  std::istringstream words(aCommand);
  for (std::string word; words >> word;) {
    arguments.push_back(word);
  }
  std::ostringstream out;
  std::ostringstream error;
  const ExitCode code = RunCtl(arguments, out, error);
  return { static_cast<int>(code), out.str(), error.str() };
}

void AssertCode(int aExpected, const Result& aResult)
{
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aResult.out + aResult.error, aExpected, aResult.code);
}

/** Address on which nothing listens. */
std::string UnreachableAddress()
{
  FakeOperatorService service;
  service.Stop();
  return service.Address();
}

std::string Sha256(const std::string& aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  std::ostringstream text;
  for (const unsigned char byte : digest) {
    text << std::hex << (byte >> 4) << (byte & 0xf);
  }
  return text.str();
}

} // namespace

/** Guards against exit codes that mislead scripts: a change reported as not run although it took
    effect, a change that runs twice after a lost answer, a second VM asked although the first was
    reached, and a key that is lost or sent to the VM. */
class CtlTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CtlTest);
  CPPUNIT_TEST(SendsEachCommand);
  CPPUNIT_TEST(MapsResultsToExitCodes);
  CPPUNIT_TEST(RepeatsALostAnswerUnderItsOperationId);
  CPPUNIT_TEST(NeverReportsNotRunAfterALostAnswer);
  CPPUNIT_TEST(TriesTheNextVmOnlyWhenTheFirstWasNotReached);
  CPPUNIT_TEST(RepeatsAtTheNextVmWhenTheFirstIsGone);
  CPPUNIT_TEST(KeepsTheKeyOnTheOperatorsSide);
  CPPUNIT_TEST(RefusesFaultyFilesBeforeSending);
  CPPUNIT_TEST(PrintsTextAndJson);
  CPPUNIT_TEST_SUITE_END();

public:
  void SendsEachCommand()
  {
    FakeOperatorService vm;
    for (const std::string command : { "key withdraw ferries office",
                                       "failure-domain out fd-1",
                                       "failure-domain in fd-1",
                                       "database drain bookings",
                                       "database restore bookings",
                                       "vm drain",
                                       "vm drain vm-b" }) {
      Section(command, [&] { AssertCode(0, Run(command, { vm.Address() })); });
    }
    AssertCode(0, Run("--base-version=6 schema apply " + kExample, { vm.Address() }));
    const std::vector<std::string> expected{ "withdraw ferries office",
                                             "failure domain fd-1 out",
                                             "failure domain fd-1 in",
                                             "database bookings out",
                                             "database bookings in",
                                             "drain vm ",
                                             "drain vm vm-b" };
    const std::vector<std::string> changes = vm.Changes();
    CPPUNIT_ASSERT_EQUAL(expected.size() + 1, changes.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(expected[i], changes[i]);
    }
    CPPUNIT_ASSERT(changes.back().starts_with("apply 6 # Kigali"));
    const std::vector<std::string> calls = vm.Calls();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 32 }, calls[0].size());
    CPPUNIT_ASSERT_MESSAGE("two commands have two operation ids", calls[0] != calls[1]);
  }

  void MapsResultsToExitCodes()
  {
    using namespace operators::v1;
    FakeOperatorService vm;
    const std::vector<std::pair<ChangeResult, int>> results{
      { CHANGE_RESULT_ACCEPTED, 0 }, { CHANGE_RESULT_INVALID, 2 },
      { CHANGE_RESULT_CONFLICT, 3 }, { CHANGE_RESULT_UNAVAILABLE, 4 },
      { CHANGE_RESULT_UNKNOWN, 5 },  { CHANGE_RESULT_UNSPECIFIED, 5 }
    };
    for (const auto& [result, code] : results) {
      Section(ChangeResult_Name(result), [&, result = result, code = code] {
        vm.AnswerWith(result);
        AssertCode(code, Run("failure-domain out fd-1", { vm.Address() }));
      });
    }
    vm.AnswerWith(CHANGE_RESULT_ACCEPTED);
    for (const auto refusal :
         { grpc::StatusCode::UNIMPLEMENTED, grpc::StatusCode::PERMISSION_DENIED }) {
      Section("a call that the VM refuses is not repeated", [&] {
        const std::size_t before = vm.Calls().size();
        vm.RefuseWith(refusal);
        AssertCode(1, Run("failure-domain out fd-1", { vm.Address() }));
        CPPUNIT_ASSERT_EQUAL(before + 1, vm.Calls().size());
      });
    }
    Section("wrong usage", [] { AssertCode(2, Run("failure-domain sideways fd-1", {})); });
    Section("no VM reached", [] {
      for (const std::string command : { "failure-domain out fd-1", "status" }) {
        const Result result = Run(command, { UnreachableAddress(), UnreachableAddress() });
        AssertCode(4, result);
        CPPUNIT_ASSERT_MESSAGE(result.error,
                               result.error.find(" was not reached, ") != std::string::npos);
      }
    });
  }

  void RepeatsALostAnswerUnderItsOperationId()
  {
    FakeOperatorService vm;
    vm.LoseAnswers(2);
    AssertCode(0, Run("failure-domain out fd-1", { vm.Address() }));
    const std::vector<std::string> calls = vm.Calls();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, calls.size());
    CPPUNIT_ASSERT(std::set<std::string>(calls.begin(), calls.end()).size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, vm.Changes().size());
  }

  void NeverReportsNotRunAfterALostAnswer()
  {
    using namespace operators::v1;
    Section("no answer until the timeout", [] {
      FakeOperatorService vm;
      vm.LoseAnswers(1'000'000);
      AssertCode(5, Run("failure-domain out fd-1", { vm.Address() }, "300ms"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, vm.Changes().size());
      AssertCode(4, Run("status", { vm.Address() }, "300ms"));
    });
    Section("the repeated change is refused", [] {
      for (const ChangeResult result :
           { CHANGE_RESULT_CONFLICT, CHANGE_RESULT_INVALID, CHANGE_RESULT_UNAVAILABLE }) {
        FakeOperatorService vm;
        vm.AnswerWith(result);
        vm.LoseAnswers(1);
        AssertCode(5, Run("failure-domain out fd-1", { vm.Address() }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, vm.Calls().size());
      }
    });
  }

  void TriesTheNextVmOnlyWhenTheFirstWasNotReached()
  {
    FakeOperatorService first;
    FakeOperatorService second;
    Section("the first was reached and has a conflict", [&] {
      first.AnswerWith(operators::v1::CHANGE_RESULT_CONFLICT);
      AssertCode(3, Run("failure-domain out fd-1", { first.Address(), second.Address() }));
      CPPUNIT_ASSERT(second.Calls().empty());
    });
    Section("the first was not reached", [&] {
      first.Stop();
      AssertCode(0, Run("failure-domain out fd-1", { first.Address(), second.Address() }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.Changes().size());
    });
  }

  void RepeatsAtTheNextVmWhenTheFirstIsGone()
  {
    FakeOperatorService second;
    FakeOperatorService first;
    // The first loses every answer until the command has seen some of that, then it stops.
    first.LoseAnswers(1'000'000);
    std::thread stopper([&] {
      while (first.Calls().empty()) {
        std::this_thread::yield();
      }
      first.Stop();
    });
    const Result result = Run("failure-domain out fd-1", { first.Address(), second.Address() });
    stopper.join();
    AssertCode(0, result);
    CPPUNIT_ASSERT_EQUAL(first.Calls().front(), second.Calls().front());
  }

  void KeepsTheKeyOnTheOperatorsSide()
  {
    const auto keyOf = [](const std::string& aOutput) {
      const auto json = nlohmann::json::parse(aOutput);
      return json.contains("key") ? json["key"].get<std::string>() : "";
    };
    Section("the key is printed, its hash is sent", [&] {
      FakeOperatorService vm;
      const Result result = Run("--output=json key give ferries office", { vm.Address() });
      AssertCode(0, result);
      const std::string key = keyOf(result.out);
      CPPUNIT_ASSERT(key.starts_with("msk_"));
      CPPUNIT_ASSERT_EQUAL("give ferries office " + Sha256(key), vm.Changes()[0]);
    });
    Section("a key that may be in force is printed too", [&] {
      FakeOperatorService vm;
      vm.LoseAnswers(1'000'000);
      const Result result = Run("--output=json key give ferries office", { vm.Address() }, "200ms");
      AssertCode(5, result);
      CPPUNIT_ASSERT(!keyOf(result.out).empty());
    });
    Section("a refused key is not printed", [&] {
      FakeOperatorService vm;
      vm.AnswerWith(operators::v1::CHANGE_RESULT_CONFLICT);
      const Result result = Run("--output=json key give ferries office", { vm.Address() });
      AssertCode(3, result);
      CPPUNIT_ASSERT(keyOf(result.out).empty());
    });
    Section("no key is made twice",
            [] { CPPUNIT_ASSERT(GenerateApiKey()->key != GenerateApiKey()->key); });
  }

  void RefusesFaultyFilesBeforeSending()
  {
    FakeOperatorService vm;
    const Result missing = Run("schema apply /nonexistent.yaml", { vm.Address() });
    AssertCode(2, missing);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid: /nonexistent.yaml: the file can't be opened, "
                                     "expected a readable YAML file\n"),
                         missing.error);
    const Result faulty =
      Run("schema apply " MUSTARDSHIFT_SOURCE_DIR "/docs/design.md", { vm.Address() });
    AssertCode(2, faulty);
    const Result noAuthority = Run("status --ca=/nonexistent.pem", { vm.Address() });
    AssertCode(2, noAuthority);
    CPPUNIT_ASSERT(noAuthority.error.find("/nonexistent.pem: can't be read") != std::string::npos);
    CPPUNIT_ASSERT(vm.Calls().empty());
  }

  void PrintsTextAndJson()
  {
    FakeOperatorService vm;
    Section("a change", [&] {
      const Result result = Run("failure-domain out fd-1", { vm.Address() });
      CPPUNIT_ASSERT_EQUAL(
        std::string(
          "accepted: from the VM\nversion: 1\nconfirmed by: vm-a\nnot confirmed by: vm-b; "
          "these stop serving key-protected routes within 5000 ms unless they confirm\n"),
        result.out);
      CPPUNIT_ASSERT(result.error.empty());
      const auto json =
        nlohmann::json::parse(Run("failure-domain out fd-1 --output=json", { vm.Address() }).out);
      CPPUNIT_ASSERT_EQUAL(std::string("accepted"), json["result"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(2, json["version"].get<int>());
    });
    Section("a schema, which can be applied again", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("# version 3\norganisations: []\n"),
                           Run("schema show", { vm.Address() }).out);
    });
    Section("the state", [&] {
      const std::string text = Run("status", { vm.Address() }).out;
      for (const std::string part :
           { "configuration trusted:    yes", "fd-3", "vm-b", "bookings" }) {
        CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
      }
      const auto json = nlohmann::json::parse(Run("status --output=json", { vm.Address() }).out);
      CPPUNIT_ASSERT_EQUAL(4, json["databases"][0]["term"].get<int>());
    });
    Section("a failure as JSON", [] {
      const Result result = Run("status --output=json", { UnreachableAddress() });
      AssertCode(4, result);
      CPPUNIT_ASSERT_EQUAL(4, nlohmann::json::parse(result.out)["exit_code"].get<int>());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTest);

} // namespace mustardshift

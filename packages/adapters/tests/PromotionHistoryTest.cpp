#include "adapters/tests/DatabaseFixture.h"
#include "core/session/LogPosition.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift {

using namespace test;
namespace v1 = database::v1;

namespace {

/** How the client of a history acknowledges writes and chooses primaries. */
enum class Rule
{
  /** As the design says. */
  Correct,
  /** Acknowledges on the primary's answer alone. */
  AcknowledgesAlone,
  /** Promotes a server with the lowest position among the fenced ones. */
  ChoosesLowest,
};

/** One seeded history of writes, cut-off servers and promotions on a group. */
class History
{
public:
  History(std::uint64_t aSeed, Rule aRule)
    : generator(aSeed)
    , rule(aRule)
  {
  }

  /** Runs the history; returns an acknowledged write that the last primary lacks, if any. */
  std::optional<std::string> Run()
  {
    for (int step = 0; step < 30; ++step) {
      switch (this->generator() % 4) {
        case 0:
          this->SetFault();
          break;
        case 1:
          this->Promote();
          break;
        default:
          this->Write("w" + std::to_string(step));
          break;
      }
    }
    for (const auto& server : this->group.servers) {
      server->SetFaults({});
    }
    this->Promote();
    for (const std::string& write : this->acknowledged) {
      if (!this->group.At(this->primary)
             .client->LookUpRequest(RequestId(write), kTimeout)
             ->found()) {
        return write;
      }
    }
    return std::nullopt;
  }

  std::size_t Acknowledged() const { return this->acknowledged.size(); }
  std::uint64_t Term() const { return this->term; }

private:
  void SetFault()
  {
    standin::v1::DatabaseFaults faults;
    const auto kind = this->generator() % 3;
    faults.set_cut_off(kind == 0);
    faults.set_hold_replication(kind == 1);
    this->group.At(this->generator() % 3).SetFaults(faults);
  }

  void Write(const std::string& aName)
  {
    const auto connection = DatabaseConnection::Open(this->group.At(this->primary).Address());
    const auto answer =
      Call(*connection, ExecuteRequest(this->term, "PUT " + aName + " x", {}, aName));
    if (!answer || answer->status() != v1::ANSWER_STATUS_OK) {
      return;
    }
    if (this->rule == Rule::AcknowledgesAlone) {
      this->acknowledged.insert(aName);
      return;
    }
    for (std::size_t i = 0; i < 3; ++i) {
      if (i == this->primary) {
        continue;
      }
      const auto replica = DatabaseConnection::Open(this->group.At(i).Address());
      const auto waited = Call(*replica, WaitRequest(this->term, answer->position(), 20));
      if (waited && waited->status() == v1::ANSWER_STATUS_OK &&
          waited->accepted_term() == answer->position().term()) {
        this->acknowledged.insert(aName);
        return;
      }
    }
  }

  /** Fences two servers, promotes one of them, and makes the others follow it. */
  void Promote()
  {
    const std::size_t left = this->generator() % 3;
    const std::uint64_t next = this->term + 1;
    std::vector<std::pair<LogPosition, std::size_t>> fenced;
    for (std::size_t i = 0; i < 3; ++i) {
      if (i == left) {
        continue;
      }
      const auto report = this->group.At(i).client->AcceptTerm(next, kTimeout);
      CPPUNIT_ASSERT(report && report->accepted());
      fenced.emplace_back(LogPosition{ report->position().term(), report->position().offset() }, i);
    }
    const auto chosen = this->rule == Rule::ChoosesLowest
                          ? std::min_element(fenced.begin(), fenced.end())
                          : std::max_element(fenced.begin(), fenced.end());
    this->term = next;
    this->primary = chosen->second;
    this->group.Lead(this->primary, this->term);
  }

  std::mt19937_64 generator;
  const Rule rule;
  GroupFixture group;
  std::uint64_t term = 2;
  std::size_t primary = 0;
  std::set<std::string> acknowledged;
};

} // namespace

/** Guards against a group that loses acknowledged writes at promotions, be it because a stand-in
    breaks an obligation or because the rules of acknowledging and promoting are wrong. */
class PromotionHistoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PromotionHistoryTest);
  CPPUNIT_TEST(KeepsAcknowledgedWrites);
  CPPUNIT_TEST(FindsLossesUnderBrokenRules);
  CPPUNIT_TEST_SUITE_END();

public:
  void KeepsAcknowledgedWrites()
  {
    std::size_t acknowledged = 0;
    std::uint64_t promotions = 0;
    for (std::uint64_t seed = 1; seed <= 15; ++seed) {
      test::Section("seed " + std::to_string(seed), [&] {
        History history(seed, Rule::Correct);
        CPPUNIT_ASSERT_EQUAL(std::string(), history.Run().value_or(""));
        acknowledged += history.Acknowledged();
        promotions += history.Term() - 2;
      });
    }
    CPPUNIT_ASSERT(acknowledged > 50);
    CPPUNIT_ASSERT(promotions > 50);
  }

  void FindsLossesUnderBrokenRules()
  {
    for (const Rule rule : { Rule::AcknowledgesAlone, Rule::ChoosesLowest }) {
      bool lost = false;
      for (std::uint64_t seed = 1; seed <= 15 && !lost; ++seed) {
        lost = History(seed, rule).Run().has_value();
      }
      CPPUNIT_ASSERT(lost);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionHistoryTest);

} // namespace mustardshift

#include "core/base/VerdictTable.h"
#include "core/base/NameTable.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

using RefusalFunction = std::function<Refusal(RequestStep, Fault, const RequestKind&)>;

std::vector<RequestKind> AllKinds()
{
  std::vector<RequestKind> kinds;
  for (unsigned bits = 0; bits < 8; ++bits) {
    kinds.push_back({ (bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0 });
  }
  return kinds;
}

/** Returns the first step and fault whose verdict can be wrong, or an empty text. A verdict is
    wrong when it is Run, or when it is NotRun for a request that may have run. */
std::string FindIncorrectRefusal(const RefusalFunction& aRefusalFor)
{
  const std::set<Fault> explicitRefusals{
    Fault::RefusedForTerm, Fault::RefusedAsBehind, Fault::StatementInvalid, Fault::Conflict
  };
  for (const auto& [step, stepName] : kRequestStepNames) {
    for (const auto& [fault, faultName] : kFaultNames) {
      for (const RequestKind& kind : AllKinds()) {
        const Verdict verdict = aRefusalFor(step, fault, kind).verdict;
        const bool cannotHaveRun = !kind.mayHaveRunBefore &&
                                   (step < RequestStep::Send || (step == RequestStep::AwaitAnswer &&
                                                                 explicitRefusals.contains(fault)));
        if (verdict == Verdict::Run || (verdict == Verdict::NotRun && !cannotHaveRun)) {
          return std::string(stepName) + " / " + std::string(faultName);
        }
      }
    }
  }
  return {};
}

} // namespace

/** Guards against a refusal that reports a request as not run although it may have run, and against
    a combination of step and fault without a defined verdict. */
class VerdictTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(VerdictTableTest);
  CPPUNIT_TEST(HasExactlyOneVerdictForEachPair);
  CPPUNIT_TEST(NeverReportsNotRunAfterSending);
  CPPUNIT_TEST(RetriesOnlyRequestsThatMayRunAgain);
  CPPUNIT_TEST(ProducesEachReason);
  CPPUNIT_TEST_SUITE_END();

public:
  void HasExactlyOneVerdictForEachPair()
  {
    // One string per fault in the order of kFaultNames, with one character per step: 'n' for
    // NotRun, 'm' for MayHaveRun, '.' where the fault can't occur; upper case where it occurs for
    // reads only.
    const std::vector<std::string> expected{
      "n........", ".n.......", ".n.......", ".nnnn....", ".n.......", ".n.......", "..nn.....",
      "..nn.....", ".nnnn....", "..nnn....", "..nnn....", "n.nnn....", "..nnn....", "..NNN....",
      "..n......", "..nnnmm..", "nnnnnmmmm", "....nmm.m", "......n..", "......N..", "......n..",
      "......n..", "......m..", ".......m.", "nnnnnmmmm",
    };
    CPPUNIT_ASSERT_EQUAL(kFaultNames.size(), expected.size());
    for (std::size_t row = 0; row < expected.size(); ++row) {
      const Fault fault = kFaultNames[row].first;
      std::string found;
      for (const auto& [step, stepName] : kRequestStepNames) {
        const bool forWrites = CanOccur(step, fault, { false, false, false });
        const bool forReads = CanOccur(step, fault, { false, true, false });
        CPPUNIT_ASSERT_EQUAL(forWrites, CanOccur(step, fault, { true, false, false }));
        CPPUNIT_ASSERT_EQUAL(forReads, CanOccur(step, fault, { true, true, false }));
        if (!forReads) {
          CPPUNIT_ASSERT(!forWrites);
          found.push_back('.');
          continue;
        }
        const Refusal refusal = RefusalFor(step, fault, { false, true, false });
        CPPUNIT_ASSERT(!refusal.message.empty());
        if (forWrites) {
          const Refusal ofWrite = RefusalFor(step, fault, { false, false, false });
          CPPUNIT_ASSERT(ofWrite.verdict == refusal.verdict && ofWrite.reason == refusal.reason);
          found.push_back(refusal.verdict == Verdict::NotRun ? 'n' : 'm');
        } else {
          found.push_back(refusal.verdict == Verdict::NotRun ? 'N' : 'M');
        }
      }
      CPPUNIT_ASSERT_EQUAL(expected[row], found);
    }
  }

  void NeverReportsNotRunAfterSending()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), FindIncorrectRefusal(RefusalFor));
    Section("the check fails for a table that gives NotRun for a lost answer", [] {
      const RefusalFunction broken = [](RequestStep aStep, Fault aFault, const RequestKind& aKind) {
        Refusal refusal = RefusalFor(aStep, aFault, aKind);
        if (aFault == Fault::AnswerLost) {
          refusal.verdict = Verdict::NotRun;
        }
        return refusal;
      };
      CPPUNIT_ASSERT(!FindIncorrectRefusal(broken).empty());
    });
    Section("the check fails for a table that ignores earlier attempts", [] {
      const RefusalFunction broken = [](RequestStep aStep, Fault aFault, RequestKind aKind) {
        aKind.mayHaveRunBefore = false;
        return RefusalFor(aStep, aFault, aKind);
      };
      CPPUNIT_ASSERT(!FindIncorrectRefusal(broken).empty());
    });
  }

  void RetriesOnlyRequestsThatMayRunAgain()
  {
    std::set<RecoveryAction> seen;
    for (const auto& [step, stepName] : kRequestStepNames) {
      for (const auto& [fault, faultName] : kFaultNames) {
        for (const RequestKind& kind : AllKinds()) {
          const RecoveryAction action = RecoveryActionFor(step, fault, kind);
          seen.insert(action);
          const bool maySendAgain = RefusalFor(step, fault, kind).verdict == Verdict::NotRun ||
                                    kind.isRepeatable || kind.isRead;
          CPPUNIT_ASSERT(action != RecoveryAction::Retry || maySendAgain);
          CPPUNIT_ASSERT(action == RecoveryAction::Refuse || CanOccur(step, fault, kind));
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, seen.size());
    CPPUNIT_ASSERT(RecoveryActionFor(RequestStep::AwaitAnswer, Fault::AnswerLost, {}) ==
                   RecoveryAction::LookUp);
  }

  void ProducesEachReason()
  {
    std::set<Reason> seen;
    for (const auto& [step, stepName] : kRequestStepNames) {
      for (const auto& [fault, faultName] : kFaultNames) {
        seen.insert(RefusalFor(step, fault, { false, true, false }).reason);
      }
    }
    CPPUNIT_ASSERT_EQUAL(kReasonNames.size(), seen.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(Fault::Internal) + 1, kFaultNames.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VerdictTableTest);

} // namespace mustardshift

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

using Resolver = std::function<Refusal(RequestStep, Fault, const RequestKind&)>;

std::vector<RequestKind> AllKinds()
{
  std::vector<RequestKind> kinds;
  for (unsigned bits = 0; bits < 8; ++bits) {
    kinds.push_back({ (bits & 1U) != 0, (bits & 2U) != 0, (bits & 4U) != 0 });
  }
  return kinds;
}

/** Returns the first pair whose refusal could be untrue, or nothing. */
std::string FindUntrueRefusal(const Resolver& aResolve)
{
  const std::set<Fault> explicitRefusals{
    Fault::RefusedForTerm, Fault::RefusedAsBehind, Fault::StatementInvalid, Fault::Conflict
  };
  for (const auto& [step, stepName] : kRequestStepNames) {
    for (const auto& [fault, faultName] : kFaultNames) {
      for (const RequestKind& kind : AllKinds()) {
        const Verdict verdict = aResolve(step, fault, kind).verdict;
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

/** Guards against a refusal that says "not run" of a request that may have run, and against a
    combination of step and fault that nobody thought of. */
class VerdictTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(VerdictTableTest);
  CPPUNIT_TEST(HasExactlyOneVerdictForEachPair);
  CPPUNIT_TEST(NeverSaysNotRunOnceAByteMayHaveLeft);
  CPPUNIT_TEST(NeverRepeatsWhatMayNotRunTwice);
  CPPUNIT_TEST(NamesEachReason);
  CPPUNIT_TEST_SUITE_END();

public:
  void HasExactlyOneVerdictForEachPair()
  {
    // One line a fault in the order of kFaultNames, one letter a step; upper case: reads only.
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
        const bool forWrites = IsPossible(step, fault, { false, false, false });
        const bool forReads = IsPossible(step, fault, { false, true, false });
        CPPUNIT_ASSERT_EQUAL(forWrites, IsPossible(step, fault, { true, false, false }));
        CPPUNIT_ASSERT_EQUAL(forReads, IsPossible(step, fault, { true, true, false }));
        if (!forReads) {
          CPPUNIT_ASSERT(!forWrites);
          found.push_back('.');
          continue;
        }
        const Refusal refusal = Resolve(step, fault, { false, true, false });
        CPPUNIT_ASSERT(!refusal.message.empty());
        if (forWrites) {
          const Refusal ofWrite = Resolve(step, fault, { false, false, false });
          CPPUNIT_ASSERT(ofWrite.verdict == refusal.verdict && ofWrite.reason == refusal.reason);
          found.push_back(refusal.verdict == Verdict::NotRun ? 'n' : 'm');
        } else {
          found.push_back(refusal.verdict == Verdict::NotRun ? 'N' : 'M');
        }
      }
      CPPUNIT_ASSERT_EQUAL(expected[row], found);
    }
  }

  void NeverSaysNotRunOnceAByteMayHaveLeft()
  {
    CPPUNIT_ASSERT_EQUAL(std::string(), FindUntrueRefusal(Resolve));
    Section("the check fails for a table that calls a lost answer not run", [] {
      const Resolver broken = [](RequestStep aStep, Fault aFault, const RequestKind& aKind) {
        Refusal refusal = Resolve(aStep, aFault, aKind);
        if (aFault == Fault::AnswerLost) {
          refusal.verdict = Verdict::NotRun;
        }
        return refusal;
      };
      CPPUNIT_ASSERT(!FindUntrueRefusal(broken).empty());
    });
    Section("the check fails for a table that forgets earlier attempts", [] {
      const Resolver broken = [](RequestStep aStep, Fault aFault, RequestKind aKind) {
        aKind.mayHaveRunBefore = false;
        return Resolve(aStep, aFault, aKind);
      };
      CPPUNIT_ASSERT(!FindUntrueRefusal(broken).empty());
    });
  }

  void NeverRepeatsWhatMayNotRunTwice()
  {
    std::set<FollowUp> seen;
    for (const auto& [step, stepName] : kRequestStepNames) {
      for (const auto& [fault, faultName] : kFaultNames) {
        for (const RequestKind& kind : AllKinds()) {
          const FollowUp followUp = FollowUpOf(step, fault, kind);
          seen.insert(followUp);
          const bool maySendAgain = Resolve(step, fault, kind).verdict == Verdict::NotRun ||
                                    kind.isRepeatable || kind.isRead;
          CPPUNIT_ASSERT(followUp != FollowUp::Retry || maySendAgain);
          CPPUNIT_ASSERT(followUp == FollowUp::Refuse || IsPossible(step, fault, kind));
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, seen.size());
    CPPUNIT_ASSERT(FollowUpOf(RequestStep::AwaitAnswer, Fault::AnswerLost, {}) == FollowUp::LookUp);
  }

  void NamesEachReason()
  {
    std::set<Reason> seen;
    for (const auto& [step, stepName] : kRequestStepNames) {
      for (const auto& [fault, faultName] : kFaultNames) {
        seen.insert(Resolve(step, fault, { false, true, false }).reason);
      }
    }
    CPPUNIT_ASSERT_EQUAL(kReasonNames.size(), seen.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(Fault::Internal) + 1, kFaultNames.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VerdictTableTest);

} // namespace mustardshift

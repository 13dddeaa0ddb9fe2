#include "core/base/NameTable.h"
#include "core/base/Reason.h"
#include "core/base/Verdict.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string_view>

namespace mustardshift {

using test::Section;

/** Guards against an enumerator that is missing from its table of names, in which case callers
    would see "unknown" in a refusal, and against two enumerators with the same name. */
class NameTableTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NameTableTest);
  CPPUNIT_TEST(NamesEveryReasonOnce);
  CPPUNIT_TEST(FindsVerdictsByName);
  CPPUNIT_TEST_SUITE_END();

public:
  void NamesEveryReasonOnce()
  {
    std::set<std::string_view> names;
    for (int value = 0; value <= static_cast<int>(Reason::Internal); ++value) {
      names.insert(ToString(static_cast<Reason>(value)));
    }
    Section("each reason has a name", [&] { CPPUNIT_ASSERT(!names.contains("unknown")); });
    Section("each name is unique",
            [&] { CPPUNIT_ASSERT_EQUAL(kReasonNames.size(), names.size()); });
  }

  void FindsVerdictsByName()
  {
    for (const auto& [verdict, name] : kVerdictNames) {
      CPPUNIT_ASSERT(ValueOf(kVerdictNames, name) == verdict);
    }
    CPPUNIT_ASSERT(!ValueOf(kVerdictNames, "maybe").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NameTableTest);

} // namespace mustardshift

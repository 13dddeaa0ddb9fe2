#include "proxy/session/PreparedStatement.h"
#include "proxy/statement/Word.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstddef>
#include <rapidcheck.h>
#include <string>

namespace mustardshift::proxy {

using mustardshift::test::Section;

/** Guards against a client's text that changes the fields of the messages in which its name at the
    server stands, and against two statements that share a name. */
class PreparedStatementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PreparedStatementTest);
  CPPUNIT_TEST(NamesAreOneWord);
  CPPUNIT_TEST(StatementsHaveNamesOfTheirOwn);
  CPPUNIT_TEST_SUITE_END();

public:
  void NamesAreOneWord()
  {
    constexpr std::size_t kMaxNameSize = 67;
    const auto nameOf = [](const std::string& aText) {
      return MakePreparedStatement(AccessKind::Read, aText).serverSideName;
    };
    Section("a short word is named by itself",
            [&] { CPPUNIT_ASSERT_EQUAL(std::string("r_q2c"), nameOf("q2c")); });
    Section("any other text is named by one word of a limited length", [&] {
      for (const std::string& text : { std::string("two words"),
                                       std::string("a\nb"),
                                       std::string("tab\tbed"),
                                       std::string(),
                                       std::string(1'000'000, 'x') }) {
        CPPUNIT_ASSERT_MESSAGE(text, IsWord(nameOf(text)));
        CPPUNIT_ASSERT(nameOf(text).size() <= kMaxNameSize);
      }
    });
    CPPUNIT_ASSERT(
      rc::check("arbitrary texts are named by one word", [&](const std::string& aText) {
        RC_ASSERT(IsWord(nameOf(aText)));
        RC_ASSERT(nameOf(aText).size() <= kMaxNameSize);
      }));
  }

  void StatementsHaveNamesOfTheirOwn()
  {
    const auto nameOf = [](AccessKind aAccess, const std::string& aText) {
      return MakePreparedStatement(aAccess, aText).serverSideName;
    };
    Section("reads and writes differ", [&] {
      CPPUNIT_ASSERT(nameOf(AccessKind::Read, "q") != nameOf(AccessKind::Write, "q"));
      CPPUNIT_ASSERT(nameOf(AccessKind::Read, "a b") != nameOf(AccessKind::Write, "a b"));
    });
    Section("the name of one text is not the name of another", [&] {
      const std::string hashed = nameOf(AccessKind::Read, "a b");
      CPPUNIT_ASSERT(nameOf(AccessKind::Read, "a  b") != hashed);
      CPPUNIT_ASSERT(nameOf(AccessKind::Read, hashed.substr(2)) != hashed);
      CPPUNIT_ASSERT(nameOf(AccessKind::Read, hashed.substr(1)) != hashed);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreparedStatementTest);

} // namespace mustardshift::proxy

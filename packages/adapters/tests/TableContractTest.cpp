#include "adapters/platform/TableClient.h"
#include "adapters/tests/FakeTable.h"
#include "adapters/tests/PlatformFixture.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);
/** For calls whose answer never comes. */
constexpr Duration kShortTimeout = std::chrono::milliseconds(200);

/** The platform's stand-in behind a TableClient. */
struct ClientSubject
{
  test::PlatformFixture platform;
  TableClient table{ platform.server->Address() };

  void SetOutage(bool aOutage)
  {
    this->platform.SetOutage(aOutage ? standin::v1::OUTAGE_MODE_REFUSE
                                     : standin::v1::OUTAGE_MODE_NONE);
  }
  void DropCommitAnswers(std::uint32_t aCount) { this->platform.DropCommitAnswers(aCount); }
};

struct FakeSubject
{
  test::FakeTable table;

  void SetOutage(bool aOutage) { this->table.SetOutage(aOutage); }
  void DropCommitAnswers(std::uint32_t aCount) { this->table.DropCommitAnswers(aCount); }
};

} // namespace

/** Guards against a FakeTable that behaves differently from the platform: unit tests would pass
    with code that fails against the real service. */
template<class Subject>
class TableContractTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableContractTest);
  CPPUNIT_TEST(AppliesAllWritesOrNone);
  CPPUNIT_TEST(ReturnsPresentRowsOnConflict);
  CPPUNIT_TEST(NeverRepeatsAVersion);
  CPPUNIT_TEST(ScansInKeyOrder);
  CPPUNIT_TEST(KeepsWritesWhoseAnswerWasLost);
  CPPUNIT_TEST(WritesNothingInAnOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { this->subject = std::make_unique<Subject>(); }
  void tearDown() override { this->subject.reset(); }

  void AppliesAllWritesOrNone()
  {
    auto& table = this->subject->table;
    Section("writes of a commit whose preconditions hold are applied", [&] {
      CPPUNIT_ASSERT(table.Commit({ { "a", 0 } }, { { "a", "1" }, { "b", "2" } }, kTimeout));
      const auto rows = table.Read({ "b", "missing", "a" }, kTimeout);
      CPPUNIT_ASSERT(rows);
      CPPUNIT_ASSERT((*rows == std::vector<TableRow>{ { "b", "2", 1 }, { "a", "1", 1 } }));
    });
    Section("one failed precondition stops all writes", [&] {
      const auto result =
        table.Commit({ { "a", 1 }, { "b", 7 } }, { { "a", "x" }, { "c", "x" } }, kTimeout);
      CPPUNIT_ASSERT(!result);
      const auto rows = table.Read({ "a", "c" }, kTimeout);
      CPPUNIT_ASSERT((*rows == std::vector<TableRow>{ { "a", "1", 1 } }));
    });
  }

  void ReturnsPresentRowsOnConflict()
  {
    auto& table = this->subject->table;
    CPPUNIT_ASSERT(table.Commit({}, { { "a", "1" }, { "b", "2" } }, kTimeout));
    const auto result =
      table.Commit({ { "a", 0 }, { "b", 1 }, { "c", 4 } }, { { "d", "x" } }, kTimeout);
    CPPUNIT_ASSERT(!result);
    CPPUNIT_ASSERT(result.error().error == PlatformError::Conflict);
    CPPUNIT_ASSERT(
      (result.error().conflicts == std::vector<TableRow>{ { "a", "1", 1 }, { "c", "", 0 } }));
  }

  void NeverRepeatsAVersion()
  {
    auto& table = this->subject->table;
    CPPUNIT_ASSERT(table.Commit({}, { { "a", "1" } }, kTimeout));
    CPPUNIT_ASSERT(table.Commit({ { "a", 1 } }, { { "a", "", true } }, kTimeout));
    Section("a removed row has version zero", [&] {
      CPPUNIT_ASSERT(table.Read({ "a" }, kTimeout)->empty());
      CPPUNIT_ASSERT(table.Commit({ { "a", 0 } }, { { "a", "2" } }, kTimeout));
    });
    Section("a writer that knows the first version loses", [&] {
      const auto result = table.Commit({ { "a", 1 } }, { { "a", "3" } }, kTimeout);
      CPPUNIT_ASSERT(!result);
      CPPUNIT_ASSERT_EQUAL(std::string("2"), result.error().conflicts.at(0).value);
      CPPUNIT_ASSERT(result.error().conflicts.at(0).version > 2);
    });
  }

  void ScansInKeyOrder()
  {
    auto& table = this->subject->table;
    CPPUNIT_ASSERT(table.Commit(
      {}, { { "vm/2", "b" }, { "vn", "x" }, { "vm/1", "a" }, { "v", "x" } }, kTimeout));
    CPPUNIT_ASSERT((*table.Scan("vm/", 0, kTimeout) ==
                    std::vector<TableRow>{ { "vm/1", "a", 1 }, { "vm/2", "b", 1 } }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, table.Scan("vm/", 1, kTimeout)->size());
    CPPUNIT_ASSERT(table.Scan("none/", 0, kTimeout)->empty());
  }

  void KeepsWritesWhoseAnswerWasLost()
  {
    auto& table = this->subject->table;
    this->subject->DropCommitAnswers(1);
    const auto lost = table.Commit({ { "a", 0 } }, { { "a", "1" } }, kShortTimeout);
    CPPUNIT_ASSERT(!lost);
    CPPUNIT_ASSERT(lost.error().error == PlatformError::AnswerLost);
    Section("the row shows that it ran", [&] {
      CPPUNIT_ASSERT((*table.Read({ "a" }, kTimeout) == std::vector<TableRow>{ { "a", "1", 1 } }));
    });
    Section("later answers arrive", [&] {
      CPPUNIT_ASSERT(table.Commit({ { "a", 1 } }, { { "a", "2" } }, kTimeout));
    });
  }

  void WritesNothingInAnOutage()
  {
    auto& table = this->subject->table;
    this->subject->SetOutage(true);
    const auto refused = table.Commit({}, { { "a", "1" } }, kTimeout);
    CPPUNIT_ASSERT(!refused);
    CPPUNIT_ASSERT(refused.error().error != PlatformError::Conflict);
    CPPUNIT_ASSERT(!table.Read({ "a" }, kTimeout));
    CPPUNIT_ASSERT(!table.Scan("", 0, kTimeout));
    this->subject->SetOutage(false);
    CPPUNIT_ASSERT(table.Read({ "a" }, kTimeout)->empty());
  }

private:
  std::unique_ptr<Subject> subject;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableContractTest<ClientSubject>);
CPPUNIT_TEST_SUITE_REGISTRATION(TableContractTest<FakeSubject>);

} // namespace mustardshift

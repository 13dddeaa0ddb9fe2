#include "proxy/log/EventLog.h"
#include "support/Section.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace mustardshift::proxy {

using mustardshift::test::Section;
using std::chrono::seconds;

/** Guards against a log that grows with the load, drops lines without reporting it, or lets clients
    forge log lines by the values that they send. */
class EventLogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(LinesPerSecondAreLimited);
  CPPUNIT_TEST(LineBreaksAndQuotesInValuesAreReplaced);
  CPPUNIT_TEST(LongValuesAreCut);
  CPPUNIT_TEST_SUITE_END();

public:
  void LinesPerSecondAreLimited()
  {
    std::vector<std::string> lines;
    EventLog log([&](std::string aLine) { lines.push_back(std::move(aLine)); }, 10);
    const Instant start{ seconds(100) };
    for (int count = 0; count < 1000; ++count) {
      log.Write(start, "statement", "done", {});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), lines.size());
    Section("lines of WriteAlways() are not dropped", [&] {
      log.WriteAlways(start, "configuration", "in-force", {});
      CPPUNIT_ASSERT_EQUAL(std::string("100000 configuration in-force"), lines.back());
    });
    Section("the number of dropped lines is reported", [&] {
      log.Write(start + seconds(1), "statement", "done", {});
      CPPUNIT_ASSERT_EQUAL(std::string("101000 log lines-dropped count=990"),
                           lines.at(lines.size() - 2));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(990), log.DroppedLines());
    });
    Section("drops are reported once a second, so that reports don't displace other lines", [&] {
      lines.clear();
      for (int millisecond = 0; millisecond < 5000; ++millisecond) {
        log.Write(
          start + seconds(2) + std::chrono::milliseconds(millisecond), "statement", "done", {});
      }
      const auto reports = std::count_if(lines.begin(), lines.end(), [](const std::string& aLine) {
        return aLine.find("lines-dropped") != std::string::npos;
      });
      CPPUNIT_ASSERT(reports >= 4 && reports <= 5);
    });
  }

  void LineBreaksAndQuotesInValuesAreReplaced()
  {
    std::string line;
    EventLog log([&](std::string aLine) { line = std::move(aLine); }, 10);
    log.Write(
      Instant{ seconds(1) }, "statement", "done", { { "id", "a\r\nb \"c" }, { "kind", "read" } });
    CPPUNIT_ASSERT_EQUAL(std::string("1000 statement done id=\"a''b 'c\" kind=read"), line);
    Section("so are other control characters, some of which end a line for other programs", [&] {
      log.Write(Instant{ seconds(1) }, "statement", "done", { { "id", "a\v\f\x1b[2J\x7f" } });
      CPPUNIT_ASSERT_EQUAL(std::string("1000 statement done id=\"a'''[2J'\""), line);
    });
  }

  /** Guards against request ids of up to 1 MiB, which would make the size of the log unbounded. */
  void LongValuesAreCut()
  {
    std::string line;
    EventLog log([&](std::string aLine) { line = std::move(aLine); }, 10);
    log.Write(Instant{ seconds(1) }, "statement", "done", { { "id", std::string(1'000, 'x') } });
    CPPUNIT_ASSERT_EQUAL("1000 statement done id=" + std::string(256, 'x') + "...", line);
    log.Write(Instant{ seconds(1) }, "statement", "done", { { "id", std::string(1'000, ' ') } });
    CPPUNIT_ASSERT_EQUAL("1000 statement done id=\"" + std::string(256, ' ') + "...\"", line);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace mustardshift::proxy

#include "adapters/log/Log.h"
#include "adapters/clock/SystemBootClock.h"
#include "core/base/NameTable.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

/** Collects what is written to standard error through std::cerr. */
class CapturedStandardError
{
public:
  CapturedStandardError()
    : previous(std::cerr.rdbuf(this->text.rdbuf()))
  {
  }
  CapturedStandardError(const CapturedStandardError&) = delete;
  CapturedStandardError& operator=(const CapturedStandardError&) = delete;
  ~CapturedStandardError() { std::cerr.rdbuf(this->previous); }

  std::string Text() const { return this->text.str(); }

private:
  std::ostringstream text;
  std::streambuf* previous;
};

} // namespace

/** Guards against log lines that operators' filters miss: no prefix, two components under one
    prefix, a message that breaks the line or looks like one of another component, and a log file
    on VMs without a disk. */
class LogTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(WritesOneLine);
  CPPUNIT_TEST(KeepsLinesWholeAcrossThreads);
  CPPUNIT_TEST(NamesEveryComponentOnce);
  CPPUNIT_TEST(BootClockDoesNotGoBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void WritesOneLine()
  {
    Section("time, level, prefix, message", [] {
      const CapturedStandardError captured;
      Log(Component::Failover).Warning("primary of\nbookings %msg is silent");
      const std::string text = captured.Text();
      CPPUNIT_ASSERT_MESSAGE(
        text, text.ends_with("Z warning failover: primary of bookings %msg is silent\n"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        text, std::string("2026-12-04T09:00:00.000Z").size() + 1, text.find("warning"));
    });
    Section("levels below the setting are left out", [] {
      const CapturedStandardError captured;
      Log(Component::Daemon).Debug("hidden");
      SetLogLevel(LogLevel::Debug);
      Log(Component::Daemon).Debug("shown");
      SetLogLevel(LogLevel::Error);
      Log(Component::Daemon).Warning("hidden");
      SetLogLevel(LogLevel::Info);
      const std::string text = captured.Text();
      CPPUNIT_ASSERT_MESSAGE(text, text.ends_with("debug daemon: shown\n"));
      CPPUNIT_ASSERT_MESSAGE(text, text.find("hidden") == std::string::npos);
    });
    Section("no file", [] { CPPUNIT_ASSERT(!std::filesystem::exists("logs")); });
  }

  void KeepsLinesWholeAcrossThreads()
  {
    constexpr int kThreads = 4;
    constexpr int kLines = 200;
    const CapturedStandardError captured;
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([] {
        for (int line = 0; line < kLines; ++line) {
          Log(Component::Peer).Info("a line of a thread.");
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::istringstream text(captured.Text());
    int count = 0;
    for (std::string line; std::getline(text, line); ++count) {
      CPPUNIT_ASSERT_MESSAGE(line, line.ends_with("Z info peer: a line of a thread."));
    }
    CPPUNIT_ASSERT_EQUAL(kThreads * kLines, count);
  }

  void NamesEveryComponentOnce()
  {
    std::set<std::string_view> names;
    for (int value = 0; value <= static_cast<int>(Component::Tls); ++value) {
      names.insert(NameOf(kComponentNames, static_cast<Component>(value)));
    }
    CPPUNIT_ASSERT(!names.contains("unknown"));
    CPPUNIT_ASSERT_EQUAL(kComponentNames.size(), names.size());
  }

  void BootClockDoesNotGoBack()
  {
    const SystemBootClock clock;
    Instant last = clock.Now();
    CPPUNIT_ASSERT(last > Instant{});
    for (int i = 0; i < 1000; ++i) {
      const Instant now = clock.Now();
      CPPUNIT_ASSERT(now >= last);
      last = now;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace mustardshift

#include "support/Section.h"

#include <cppunit/Exception.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace {

/** Counts tests and prints each failure with the section it happened in. Tests listed in
    KNOWN-RED.txt are printed, but do not fail the run. */
class ReportingListener : public CppUnit::TestListener
{
public:
  explicit ReportingListener(std::set<std::string> aKnownRed)
    : knownRed(std::move(aKnownRed))
  {
  }

  void startTest(CppUnit::Test* /*aTest*/) override
  {
    this->currentFailed = false;
    mustardshift::test::TakeFailedSectionPath();
  }

  void addFailure(const CppUnit::TestFailure& aFailure) override
  {
    this->currentFailed = true;
    std::cout << "FAILED " << aFailure.failedTestName()
              << "\n  in: " << mustardshift::test::TakeFailedSectionPath() << "\n  "
              << aFailure.sourceLine().fileName() << ":" << aFailure.sourceLine().lineNumber()
              << "\n  " << aFailure.thrownException()->what() << std::endl;
  }

  void endTest(CppUnit::Test* aTest) override
  {
    if (!this->currentFailed) {
      ++this->passed;
      return;
    }
    if (this->knownRed.contains(aTest->getName())) {
      ++this->skipped;
      std::cout << "known red: " << aTest->getName() << std::endl;
      return;
    }
    ++this->failed;
  }

  int passed = 0;
  int failed = 0;
  int skipped = 0;

private:
  std::set<std::string> knownRed;
  bool currentFailed = false;
};

/** Reads the test names of KNOWN-RED.txt: lines of the form "test: Class::Name". */
std::set<std::string> ReadKnownRed(const std::string& aPath)
{
  std::set<std::string> names;
  std::ifstream file(aPath);
  const std::string prefix = "test: ";
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(prefix)) {
      names.insert(line.substr(prefix.size()));
    }
  }
  return names;
}

} // namespace

/** Usage: TEST [--known-red=FILE] [name of one test] */
int main(int aArgumentCount, char** aArguments)
{
  std::set<std::string> knownRed;
  std::string only;
  const std::string knownRedFlag = "--known-red=";
  for (int i = 1; i < aArgumentCount; ++i) {
    const std::string argument = aArguments[i];
    if (argument.starts_with(knownRedFlag)) {
      knownRed = ReadKnownRed(argument.substr(knownRedFlag.size()));
    } else {
      only = argument;
    }
  }

  CppUnit::TestResult result;
  ReportingListener listener(knownRed);
  result.addListener(&listener);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  try {
    runner.run(result, only);
  } catch (const std::exception& error) {
    std::cerr << "no test is called " << only << ": " << error.what() << std::endl;
    return 2;
  }
  std::cout << "tests: " << listener.passed << " passed, " << listener.failed << " failed, "
            << listener.skipped << " skipped" << std::endl;
  return listener.failed == 0 ? 0 : 1;
}

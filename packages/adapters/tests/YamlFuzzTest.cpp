#include "adapters/schema/SchemaReader.h"
#include "adapters/schema/SchemaWriter.h"
#include "adapters/settings/SettingsReader.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>

namespace mustardshift {

using test::Section;

namespace {

constexpr std::uint64_t kSeed = 7031;
constexpr int kRounds = 5000;

constexpr std::array<std::string_view, 34> kTokens{
  "\n",  "\n  ", ": ",    "- ",   "{",    "}",   "[",    "]",
  ",",   "\"",   "'",     "#",    "&a ",  "*a",  "? ",   "| ",
  "> ",  "!!",   "!<x> ", "%",    "@",    "`",   "~",    "null",
  "---", "...",  "\t",    "\r\n", "<<: ", "\\x", "\xff", "9999999999999999999999",
  "-0",  "1e999"
};

/** Changes a few places of a text. */
std::string Mutated(std::string aText, std::mt19937_64& aRandom)
{
  const auto below = [&aRandom](std::size_t aBound) {
    return static_cast<std::size_t>(aRandom() % std::max<std::size_t>(aBound, 1));
  };
  const std::size_t changes = 1 + below(4);
  for (std::size_t change = 0; change < changes; ++change) {
    const std::size_t at = below(aText.size() + 1);
    const std::size_t length = below(40);
    switch (aRandom() % 5) {
      case 0:
        aText.erase(at, length);
        break;
      case 1:
        aText.insert(at, aText.substr(below(aText.size()), length));
        break;
      case 2:
        aText.insert(at, kTokens[below(kTokens.size())]);
        break;
      case 3:
        aText.resize(at);
        break;
      default:
        if (at < aText.size()) {
          aText[at] = static_cast<char>(aRandom());
        }
    }
  }
  return aText;
}

/** Checks what holds for every report of faults; returns what doesn't. */
std::string FaultOfReport(const InputErrors& aErrors, const std::string& aText)
{
  // yaml-cpp counts CR, LF and CRLF as line ends.
  const auto lines =
    std::count_if(aText.begin(),
                  aText.end(),
                  [](char aCharacter) { return aCharacter == '\n' || aCharacter == '\r'; }) +
    1;
  if (aErrors.empty()) {
    return "no fault is named";
  }
  for (const InputError& error : aErrors) {
    if (error.line < 0 || error.line > lines) {
      return "no such line: " + error.ToString();
    }
    if (error.message.empty() || error.ToString().find('\n') != std::string::npos) {
      return "not one line: " + error.ToString();
    }
  }
  return "";
}

std::string ReadExample(const std::string& aName)
{
  std::ifstream file(MUSTARDSHIFT_SOURCE_DIR "/examples/" + aName);
  return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
}

} // namespace

/** Guards against a damaged file that ends the process, hangs it, or is half read: every text is
    either read whole or refused with faults that name a line of the text. */
class YamlFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(YamlFuzzTest);
  CPPUNIT_TEST(SchemaReaderSurvivesDamage);
  CPPUNIT_TEST(SettingsReaderSurvivesDamage);
  CPPUNIT_TEST(SurvivesNestingAndAliases);
  CPPUNIT_TEST(ReportCheckFindsBadReports);
  CPPUNIT_TEST_SUITE_END();

public:
  void SchemaReaderSurvivesDamage()
  {
    const std::string original = ReadExample("aqaba.yaml");
    CPPUNIT_ASSERT(SchemaReader().ReadText(original, "f").has_value());
    std::mt19937_64 random(kSeed);
    int accepted = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::string text = Mutated(original, random);
      const auto schema = SchemaReader().ReadText(text, "f");
      if (!schema.has_value()) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), FaultOfReport(schema.error(), text));
        continue;
      }
      ++accepted;
      const Configuration configuration = schema->ApplyTo(Configuration{});
      const auto again = SchemaReader().ReadText(SchemaWriter().WriteText(configuration), "f");
      CPPUNIT_ASSERT_MESSAGE(text, again.has_value());
      CPPUNIT_ASSERT_MESSAGE(text, again->ApplyTo(Configuration{}) == configuration);
    }
    Section("both outcomes occurred", [&] {
      CPPUNIT_ASSERT(accepted > 0);
      CPPUNIT_ASSERT(accepted < kRounds);
    });
  }

  void SettingsReaderSurvivesDamage()
  {
    const std::string original = ReadExample("vm.yaml");
    const auto intact = SettingsReader().ReadText(original, "f");
    CPPUNIT_ASSERT_MESSAGE(intact ? "" : ToString(intact.error()), intact.has_value());
    std::mt19937_64 random(kSeed);
    int accepted = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::string text = Mutated(original, random);
      const auto settings = SettingsReader().ReadText(text, "f");
      if (!settings.has_value()) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), FaultOfReport(settings.error(), text));
        continue;
      }
      ++accepted;
      CPPUNIT_ASSERT_MESSAGE(text, !settings->vm.IsEmpty() && !settings->callerAddress.empty());
    }
    Section("both outcomes occurred", [&] {
      CPPUNIT_ASSERT(accepted > 0);
      CPPUNIT_ASSERT(accepted < kRounds);
    });
  }

  void SurvivesNestingAndAliases()
  {
    for (const std::string part : { "[", "{", "- ", "? ", "a: {", "\"", "&a " }) {
      Section("repeated " + part, [&] {
        std::string text;
        for (int i = 0; i < 3000; ++i) {
          text += part;
        }
        CPPUNIT_ASSERT(!SchemaReader().ReadText(text, "f").has_value());
      });
    }
    Section("a text that yields empty documents without end", [] {
      for (const std::string text : { ", a", "a: 1\n...\n, b", "]", "}\n" }) {
        CPPUNIT_ASSERT(!SchemaReader().ReadText(text, "f").has_value());
      }
    });
    Section("an end of document alone is no second document", [] {
      const std::string text = "---\norganisations: []\nroutes: []\ndatabases: []\n...\n";
      CPPUNIT_ASSERT(SchemaReader().ReadText(text, "f").has_value());
    });
    Section("an alias that contains itself", [] {
      const std::string text = "organisations: &a [*a]\nroutes: *a\ndatabases: *a\n";
      CPPUNIT_ASSERT(!SchemaReader().ReadText(text, "f").has_value());
    });
    Section("aliases that multiply", [] {
      std::string text =
        "organisations: [&o {name: a, rate: 1, burst: 1, keys: [&k {name: k, hash: x}";
      for (int i = 0; i < 90; ++i) {
        text += ", *k";
      }
      text += "]}";
      for (int i = 0; i < 2000; ++i) {
        text += ", *o";
      }
      text += "]\nroutes: []\ndatabases: []\n";
      const auto schema = SchemaReader().ReadText(text, "f");
      CPPUNIT_ASSERT(!schema.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 100 }, schema.error().size());
    });
  }

  void ReportCheckFindsBadReports()
  {
    const std::string text = "a\nb\n";
    CPPUNIT_ASSERT_EQUAL(std::string(), FaultOfReport({ { "f", 3, "k", "m" } }, text));
    CPPUNIT_ASSERT(!FaultOfReport({}, text).empty());
    CPPUNIT_ASSERT(!FaultOfReport({ { "f", 4, "k", "m" } }, text).empty());
    CPPUNIT_ASSERT(!FaultOfReport({ { "f", 1, "k", "m\nn" } }, text).empty());
    CPPUNIT_ASSERT(!FaultOfReport({ { "f", 1, "k", "" } }, text).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(YamlFuzzTest);

} // namespace mustardshift

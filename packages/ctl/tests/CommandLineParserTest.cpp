#include "ctl/CommandLineParser.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace mustardshift {

using test::Section;

namespace {

using Arguments = std::vector<std::string>;

CommandLine Parsed(const Arguments& aArguments)
{
  const auto line = ParseCtlCommandLine(aArguments);
  CPPUNIT_ASSERT_MESSAGE(line ? "" : line.error(), line.has_value());
  return *line;
}

} // namespace

/** Guards against a command line that does something else than the operator wrote: a flag that is
    ignored, a value taken from an earlier parse, an operand too many, and faults that don't name
    the argument and what was expected. */
class CommandLineParserTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CommandLineParserTest);
  CPPUNIT_TEST(ReadsFlags);
  CPPUNIT_TEST(ReadsEveryCommand);
  CPPUNIT_TEST(NamesEachFault);
  CPPUNIT_TEST(ExplainsItself);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsFlags()
  {
    Section("with and without an equals sign, before and behind the command", [] {
      const CommandLine line = Parsed({ "--vm=127.0.0.1:1,127.0.0.2:2",
                                        "--output",
                                        "json",
                                        "key",
                                        "give",
                                        "--timeout=500ms",
                                        "ferries",
                                        "office",
                                        "--vm",
                                        "127.0.0.3:3",
                                        "--base-version=12",
                                        "--ca=a.pem",
                                        "--certificate=c.pem",
                                        "--key=k.pem" });
      CPPUNIT_ASSERT((line.vms == Arguments{ "127.0.0.1:1", "127.0.0.2:2", "127.0.0.3:3" }));
      CPPUNIT_ASSERT(line.output == OutputFormat::Json);
      CPPUNIT_ASSERT(line.command == CtlCommand::GiveKey);
      CPPUNIT_ASSERT((line.operands == Arguments{ "ferries", "office" }));
      CPPUNIT_ASSERT(line.timeout == std::chrono::milliseconds(500));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 12 }, line.baseVersion);
      CPPUNIT_ASSERT_EQUAL(std::string("a.pem c.pem k.pem"),
                           line.ca + " " + line.certificate + " " + line.key);
    });
    Section("an earlier parse leaves nothing behind", [] {
      const CommandLine line = Parsed({ "--vm=127.0.0.9:9", "status" });
      CPPUNIT_ASSERT((line.vms == Arguments{ "127.0.0.9:9" }));
      CPPUNIT_ASSERT(line.output == OutputFormat::Text);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, line.baseVersion);
      CPPUNIT_ASSERT(line.timeout == std::chrono::seconds(10));
    });
    Section("what stands behind two dashes is no flag", [] {
      const CommandLine line =
        Parsed({ "--vm=127.0.0.9:9", "schema", "apply", "--", "--odd.yaml" });
      CPPUNIT_ASSERT((line.operands == Arguments{ "--odd.yaml" }));
    });
  }

  void ReadsEveryCommand()
  {
    for (const CtlCommandForm& form : kCtlCommands) {
      const std::string words(form.words);
      Section(words, [&] {
        Arguments arguments{ "--vm=127.0.0.1:1" };
        const std::size_t space = words.find(' ');
        arguments.push_back(words.substr(0, space));
        if (space != std::string::npos) {
          arguments.push_back(words.substr(space + 1));
        }
        arguments.insert(arguments.end(), form.mostOperands, "name");
        CPPUNIT_ASSERT(Parsed(arguments).command == form.command);
        arguments.emplace_back("surplus");
        const auto line = ParseCtlCommandLine(arguments);
        CPPUNIT_ASSERT(!line.has_value());
        CPPUNIT_ASSERT_MESSAGE(line.error(),
                               line.error().find("operands, expected") != std::string::npos);
      });
    }
  }

  void NamesEachFault()
  {
    const std::string vm = "--vm=127.0.0.1:1";
    const std::vector<std::pair<Arguments, std::string>> table{
      { {}, "no command given, expected one of schema apply, schema show" },
      { { vm, "schema" }, "\"schema\" is no command, expected one of schema apply" },
      { { vm, "schema", "aply", "f" }, "\"schema aply f\" is no command, expected one of" },
      { { vm, "schema", "apply" }, "schema apply: has 0 operands, expected \"schema apply FILE\"" },
      { { vm, "key", "give", "a" },
        "key give: has 1 operands, expected \"key give ORGANISATION NAME\"" },
      { { vm, "key", "give", "a", "b c" }, "key give: \"b c\" is no name, expected 1 to 64" },
      { { vm, "failure-domain", "out", "" }, "failure-domain out: \"\" is no name" },
      { { vm, "--verbose", "status" }, "--verbose: unknown flag, expected one of --vm, --output" },
      { { vm, "--undefok=x", "status" }, "--undefok: unknown flag" },
      { { vm, "-x", "status" }, "--x: unknown flag" },
      { { "status" }, "--vm: missing, expected the operator address of a VM" },
      { { "status", "--vm" }, "--vm: has no value, expected operator address of a VM" },
      { { "status", "--vm=" }, "--vm: has no value, expected operator address of a VM" },
      { { "status", "--vm=localhost" },
        "--vm: Illegal value 'localhost' specified for flag 'vm'; \"localhost\" is no address, "
        "expected addresses such as" },
      { { "status", "--vm=127.0.0.1:1," }, "--vm: Illegal value" },
      { { vm, "status", "--output=xml" },
        "--output: Illegal value 'xml' specified for flag 'output'; expected text or json" },
      { { vm, "status", "--output=text", "--output=json" },
        "--output: given twice, expected once" },
      { { vm, "status", "--timeout=5" }, "--timeout: Illegal value '5'" },
      { { vm, "status", "--timeout=-5s" }, "--timeout: out of range, expected 1ms to 10m" },
      { { vm, "status", "--timeout=inf" }, "--timeout: out of range, expected 1ms to 10m" },
      { { vm, "status", "--timeout=0" }, "--timeout: out of range, expected 1ms to 10m" },
      { { vm, "status", "--base-version=3" },
        "--base-version: given, expected none, since \"status\" changes no configuration" },
      { { vm, "database", "drain", "d", "--base-version=-3" },
        "--base-version: Illegal value '-3'" },
      { { vm, "status", "--ca=a", "--key=k" },
        "--certificate: missing, expected --certificate and --key together" },
      { { vm, "status", "--certificate=c", "--key=k" }, "--ca: missing, expected together with" },
      { { vm, "--vm=127.0.0.2:1", "vm", "drain" },
        "--vm: has more than one address, expected one, or \"vm drain NAME\"" },
    };
    for (const auto& [arguments, fault] : table) {
      Section(fault, [&, &arguments = arguments, &fault = fault] {
        const auto line = ParseCtlCommandLine(arguments);
        CPPUNIT_ASSERT(!line.has_value());
        CPPUNIT_ASSERT_MESSAGE(line.error(), line.error().starts_with(fault));
      });
    }
  }

  void ExplainsItself()
  {
    CPPUNIT_ASSERT(Parsed({ "--help" }).wantsHelp);
    CPPUNIT_ASSERT(Parsed({ "help" }).wantsHelp);
    CPPUNIT_ASSERT(Parsed({ "schema", "apply", "-h", "--unknown" }).wantsHelp);
    const std::string usage = CtlUsage();
    for (const CtlCommandForm& form : kCtlCommands) {
      CPPUNIT_ASSERT(usage.find(form.words) != std::string::npos);
    }
    for (const std::string code :
         { "  0  acc", "  1  int", "  2  wrong", "  3  con", "  4  unav", "  5  unkn" }) {
      CPPUNIT_ASSERT_MESSAGE(code + usage, usage.find(code) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineParserTest);

} // namespace mustardshift

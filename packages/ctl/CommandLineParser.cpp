#include "ctl/CommandLineParser.h"

#include "adapters/settings/YamlMap.h"
#include "core/base/NameTable.h"
#include "ctl/ExitCode.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string_view>

namespace mustardshift {

namespace {

/** Value of --vm: addresses, separated by commas. */
struct VmAddresses
{
  std::vector<std::string> addresses;
};

// NOLINTBEGIN(readability-identifier-naming): Abseil finds these functions by their names.
bool AbslParseFlag(absl::string_view aText, VmAddresses* aValue, std::string* aError)
{
  aValue->addresses.clear();
  // Abseil reads the empty default back; an empty value on the command line is a fault before this.
  if (aText.empty()) {
    return true;
  }
  for (const absl::string_view part : absl::StrSplit(aText, ',')) {
    const std::string address(part);
    if (!IsAddress(address)) {
      *aError = "\"" + address + "\" is no address, expected addresses such as 10.0.0.1:7001";
      return false;
    }
    aValue->addresses.push_back(address);
  }
  return true;
}

std::string AbslUnparseFlag(const VmAddresses& aValue)
{
  return absl::StrJoin(aValue.addresses, ",");
}
// NOLINTEND(readability-identifier-naming)

} // namespace

// NOLINTBEGIN(readability-identifier-naming): Abseil finds these functions by their names, and only
// in the namespace of OutputFormat.
static bool AbslParseFlag(absl::string_view aText, OutputFormat* aValue, std::string* aError)
{
  const auto value = ValueOf(kOutputFormatNames, std::string_view(aText.data(), aText.size()));
  if (!value.has_value()) {
    *aError = "expected text or json";
    return false;
  }
  *aValue = *value;
  return true;
}

static std::string AbslUnparseFlag(OutputFormat aValue)
{
  return std::string(NameOf(kOutputFormatNames, aValue));
}
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr std::array<std::string_view, 7> kFlagNames{ "vm",           "output", "timeout",
                                                      "base-version", "ca",     "certificate",
                                                      "key" };

} // namespace

} // namespace mustardshift

// NOLINTBEGIN(readability-identifier-naming): Abseil makes these names.
ABSL_FLAG(mustardshift::VmAddresses,
          vm,
          {},
          "operator address of a VM, IP:port; repeated or separated by commas. The next one is "
          "tried only when the one before was not reached.");
ABSL_FLAG(mustardshift::OutputFormat,
          output,
          mustardshift::OutputFormat::Text,
          "form of the output: text or json");
ABSL_FLAG(absl::Duration,
          timeout,
          absl::Seconds(10),
          "longest time for the whole command, such as 10s or 500ms");
ABSL_FLAG(std::uint64_t,
          base_version,
          0,
          "version that the change starts from; if another change came first, this one is not "
          "run. 0 stands for the present version.");
ABSL_FLAG(std::string, ca, "", "PEM file with the authorities that sign the VMs' certificates");
ABSL_FLAG(std::string, certificate, "", "PEM file with the operator's certificate");
ABSL_FLAG(std::string, key, "", "PEM file with the key of the operator's certificate");
// NOLINTEND(readability-identifier-naming)

namespace mustardshift {

namespace {

/** Sets all flags to their defaults, so that one parse leaves nothing to the next. absl::FlagSaver
    would do the same, but writes a line to standard error for each flag. */
void ResetFlags()
{
  const CommandLine defaults;
  absl::SetFlag(&FLAGS_vm, VmAddresses{});
  absl::SetFlag(&FLAGS_output, defaults.output);
  absl::SetFlag(&FLAGS_timeout, absl::FromChrono(defaults.timeout));
  absl::SetFlag(&FLAGS_base_version, defaults.baseVersion);
  absl::SetFlag(&FLAGS_ca, defaults.ca);
  absl::SetFlag(&FLAGS_certificate, defaults.certificate);
  absl::SetFlag(&FLAGS_key, defaults.key);
}

absl::CommandLineFlag* FindFlag(const std::string& aName)
{
  if (std::find(kFlagNames.begin(), kFlagNames.end(), aName) == kFlagNames.end()) {
    return nullptr;
  }
  std::string name = aName;
  std::replace(name.begin(), name.end(), '-', '_');
  return absl::FindCommandLineFlag(name);
}

std::string KnownFlags()
{
  std::string text;
  for (const std::string_view name : kFlagNames) {
    text += "--" + std::string(name) + ", ";
  }
  return text + "--help";
}

std::string KnownCommands()
{
  std::string text;
  for (const CtlCommandForm& form : kCtlCommands) {
    text += (text.empty() ? "" : ", ") + std::string(form.words);
  }
  return text;
}

/** Sets flags one by one and keeps the other arguments. */
class ArgumentScanner
{
public:
  /** Returns a fault, or nothing. */
  std::optional<std::string> Scan(const std::vector<std::string>& aArguments)
  {
    bool flagsEnded = false;
    for (std::size_t i = 0; i < aArguments.size(); ++i) {
      const std::string& argument = aArguments[i];
      if (flagsEnded || argument.size() < 2 || argument.front() != '-') {
        this->words.push_back(argument);
        continue;
      }
      if (argument == "--") {
        flagsEnded = true;
        continue;
      }
      const std::size_t nameStart = argument.starts_with("--") ? 2 : 1;
      const std::size_t equals = argument.find('=');
      const std::string name = argument.substr(nameStart, equals - nameStart);
      if (name == "help" || name == "h") {
        this->wantsHelp = true;
        continue;
      }
      std::optional<std::string> value;
      if (equals != std::string::npos) {
        value = argument.substr(equals + 1);
      } else if (i + 1 < aArguments.size() && FindFlag(name) != nullptr) {
        value = aArguments[++i];
      }
      if (auto fault = this->Set(name, value)) {
        return fault;
      }
    }
    return std::nullopt;
  }

  std::vector<std::string> words;
  std::set<std::string> given;
  bool wantsHelp = false;

private:
  std::optional<std::string> Set(const std::string& aName, std::optional<std::string> aValue)
  {
    absl::CommandLineFlag* flag = FindFlag(aName);
    if (flag == nullptr) {
      return "--" + aName + ": unknown flag, expected one of " + KnownFlags();
    }
    if (!aValue.has_value() || aValue->empty()) {
      return "--" + aName + ": has no value, expected " + flag->Help();
    }
    const bool isFirst = this->given.insert(aName).second;
    if (!isFirst && aName != "vm") {
      return "--" + aName + ": given twice, expected once";
    }
    if (!isFirst) {
      aValue = flag->CurrentValue() + "," + *aValue;
    }
    std::string error;
    if (!flag->ParseFrom(*aValue, &error)) {
      return "--" + aName + ": " + error + "; expected " + flag->Help();
    }
    return std::nullopt;
  }
};

const CtlCommandForm* FindCommand(const std::vector<std::string>& aWords)
{
  for (const CtlCommandForm& form : kCtlCommands) {
    const std::vector<std::string> words = absl::StrSplit(std::string(form.words), ' ');
    if (aWords.size() >= words.size() && std::equal(words.begin(), words.end(), aWords.begin())) {
      return &form;
    }
  }
  return nullptr;
}

std::string FormText(const CtlCommandForm& aForm)
{
  return std::string(aForm.words) + (aForm.operands.empty() ? "" : " ") +
         std::string(aForm.operands);
}

std::optional<std::string> CheckOperands(const CtlCommandForm& aForm, const CommandLine& aLine)
{
  const std::size_t count = aLine.operands.size();
  if (count < aForm.leastOperands || count > aForm.mostOperands) {
    return std::string(aForm.words) + ": has " + std::to_string(count) + " operands, expected \"" +
           FormText(aForm) + "\"";
  }
  if (aLine.command == CtlCommand::ApplySchema) {
    return std::nullopt;
  }
  for (const std::string& operand : aLine.operands) {
    if (!IsIdentifier(operand)) {
      return std::string(aForm.words) + ": \"" + operand +
             "\" is no name, expected 1 to 64 letters, digits, '.', '_' or '-'";
    }
  }
  return std::nullopt;
}

std::optional<std::string> CheckFlags(const CtlCommandForm& aForm,
                                      const CommandLine& aLine,
                                      const std::set<std::string>& aGiven)
{
  if (aLine.vms.empty()) {
    return std::string("--vm: missing, expected the operator address of a VM, such as "
                       "--vm=10.0.0.1:7001");
  }
  // An empty name means "the VM that is asked": the next VM of a list would be drained instead.
  if (aForm.command == CtlCommand::DrainVm && aLine.operands.empty() && aLine.vms.size() > 1) {
    return std::string("--vm: has more than one address, expected one, or \"vm drain NAME\"");
  }
  if (aGiven.contains("base-version") && !aForm.isChange) {
    return "--base-version: given, expected none, since \"" + std::string(aForm.words) +
           "\" changes no configuration";
  }
  if (aLine.timeout < std::chrono::milliseconds(1) || aLine.timeout > std::chrono::minutes(10)) {
    return std::string("--timeout: out of range, expected 1ms to 10m");
  }
  if (aLine.certificate.empty() != aLine.key.empty()) {
    return std::string("--") + (aLine.key.empty() ? "key" : "certificate") +
           ": missing, expected --certificate and --key together";
  }
  if (aLine.ca.empty() && !aLine.certificate.empty()) {
    return std::string("--ca: missing, expected together with --certificate and --key");
  }
  return std::nullopt;
}

} // namespace

tl::expected<CommandLine, std::string> ParseCtlCommandLine(
  const std::vector<std::string>& aArguments)
{
  ResetFlags();
  ArgumentScanner scanner;
  const auto scanFault = scanner.Scan(aArguments);
  CommandLine line;
  if (scanner.wantsHelp || scanner.words == std::vector<std::string>{ "help" }) {
    line.wantsHelp = true;
    return line;
  }
  if (scanFault.has_value()) {
    return tl::unexpected(*scanFault);
  }
  const CtlCommandForm* form = FindCommand(scanner.words);
  if (form == nullptr) {
    const std::string given = absl::StrJoin(scanner.words, " ");
    return tl::unexpected((given.empty() ? "no command given" : "\"" + given + "\" is no command") +
                          ", expected one of " + KnownCommands());
  }
  line.command = form->command;
  const auto commandWords = std::count(form->words.begin(), form->words.end(), ' ') + 1;
  line.operands.assign(scanner.words.begin() + commandWords, scanner.words.end());
  line.vms = absl::GetFlag(FLAGS_vm).addresses;
  line.output = absl::GetFlag(FLAGS_output);
  line.timeout = absl::ToChronoMicroseconds(absl::GetFlag(FLAGS_timeout));
  line.baseVersion = absl::GetFlag(FLAGS_base_version);
  line.ca = absl::GetFlag(FLAGS_ca);
  line.certificate = absl::GetFlag(FLAGS_certificate);
  line.key = absl::GetFlag(FLAGS_key);
  if (const auto fault = CheckOperands(*form, line)) {
    return tl::unexpected(*fault);
  }
  if (const auto fault = CheckFlags(*form, line, scanner.given)) {
    return tl::unexpected(*fault);
  }
  return line;
}

std::string CtlUsage()
{
  std::string text = "mustardshiftctl: command-line tool for operators of mustardshift.\n\n"
                     "usage: mustardshiftctl --vm=ADDRESS[,ADDRESS...] [flags] COMMAND\n\n"
                     "commands:\n";
  for (const CtlCommandForm& form : kCtlCommands) {
    std::string left = "  " + FormText(form);
    left.resize(std::max<std::size_t>(left.size() + 1, 36), ' ');
    text += left + std::string(form.help) + "\n";
  }
  text += "\nflags:\n";
  for (const std::string_view name : kFlagNames) {
    const absl::CommandLineFlag* flag = FindFlag(std::string(name));
    text += "  --" + std::string(name) + ": " + flag->Help() + "\n";
  }
  text += "\nexit codes:\n";
  for (const auto& [code, meaning] : kExitCodeMeanings) {
    text += "  " + std::to_string(static_cast<int>(code)) + "  " + std::string(meaning) + "\n";
  }
  text +=
    "\nA change carries an operation id. When an answer is lost, the same change is sent again "
    "under\nthe same operation id until the timeout.\n";
  return text;
}

} // namespace mustardshift

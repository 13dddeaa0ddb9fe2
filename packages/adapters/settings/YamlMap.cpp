#include "adapters/settings/YamlMap.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <memory>
#include <sstream>
#include <system_error>
#include <utility>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/parser.h>

namespace mustardshift {

namespace {

constexpr std::size_t kMaximumFileSize = 4u << 20;
constexpr std::size_t kMaximumTextSize = 4096;
constexpr std::size_t kMaximumIdentifierSize = 64;

/** Shows a value in a message, shortened. */
std::string Quote(const std::string& aText)
{
  constexpr std::size_t kShown = 60;
  const std::string shown = aText.substr(0, kShown);
  return "\"" + shown + (aText.size() > kShown ? "...\"" : "\"");
}

std::string Join(const std::vector<std::string_view>& aWords)
{
  std::string text;
  for (const std::string_view word : aWords) {
    text += text.empty() ? "" : ", ";
    text += word;
  }
  return text;
}

std::string_view KindOf(const YAML::Node& aNode)
{
  switch (aNode.Type()) {
    case YAML::NodeType::Map:
      return "a map";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Scalar:
      return "a value";
    default:
      return "empty";
  }
}

template<class Value>
std::optional<Value> ParseWhole(std::string_view aText)
{
  Value value{};
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || last != end) {
    return std::nullopt;
  }
  return value;
}

std::string FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), aValue);
  return error == std::errc{} ? std::string(text.data(), end) : "?";
}

/** Notes where the documents of a text start, and ignores their content. */
class DocumentStarts : public YAML::EventHandler
{
public:
  void OnDocumentStart(const YAML::Mark& aMark) override { this->lines.push_back(aMark.line + 1); }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& /*aMark*/, YAML::anchor_t /*aAnchor*/) override {}
  void OnAlias(const YAML::Mark& /*aMark*/, YAML::anchor_t /*aAnchor*/) override {}
  void OnScalar(const YAML::Mark& /*aMark*/,
                const std::string& /*aTag*/,
                YAML::anchor_t /*aAnchor*/,
                const std::string& /*aValue*/) override
  {
  }
  void OnSequenceStart(const YAML::Mark& /*aMark*/,
                       const std::string& /*aTag*/,
                       YAML::anchor_t /*aAnchor*/,
                       YAML::EmitterStyle::value /*aStyle*/) override
  {
  }
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark& /*aMark*/,
                  const std::string& /*aTag*/,
                  YAML::anchor_t /*aAnchor*/,
                  YAML::EmitterStyle::value /*aStyle*/) override
  {
  }
  void OnMapEnd() override {}

  std::vector<int> lines;
};

/** Units of spans, from the largest, in microseconds. */
constexpr std::array<std::pair<std::string_view, std::int64_t>, 4> kSpanUnits{ {
  { "min", 60'000'000 },
  { "s", 1'000'000 },
  { "ms", 1'000 },
  { "us", 1 },
} };

} // namespace

int LineOf(const YAML::Node& aNode)
{
  return aNode.Mark().line + 1;
}

bool IsAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || aText.size() > 64) {
    return false;
  }
  const auto port = ParseWhole<std::uint16_t>(std::string_view(aText).substr(colon + 1));
  if (!port.has_value() || *port == 0) {
    return false;
  }
  std::string host = aText.substr(0, colon);
  std::array<unsigned char, 16> parsed{};
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
  }
  // inet_pton would stop at a zero byte.
  return host.find('\0') == std::string::npos &&
         inet_pton(AF_INET, host.c_str(), parsed.data()) == 1;
}

bool IsUnfilled(const std::string& aText)
{
  const bool isUnit = std::any_of(
    kSpanUnits.begin(), kSpanUnits.end(), [&](const auto& aUnit) { return aText == aUnit.first; });
  return aText.empty() || aText.front() == ':' || aText.back() == ':' || isUnit;
}

bool IsIdentifier(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaximumIdentifierSize &&
         std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') ||
                  (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
                  aCharacter == '_' || aCharacter == '-';
         });
}

std::optional<Duration> ParseSpan(const std::string& aText)
{
  const std::size_t unitStart = aText.find_first_not_of("0123456789.");
  if (unitStart == std::string::npos || unitStart == 0) {
    return std::nullopt;
  }
  const std::string_view figure = std::string_view(aText).substr(0, unitStart);
  const std::string_view unit = std::string_view(aText).substr(unitStart);
  const auto found = std::find_if(
    kSpanUnits.begin(), kSpanUnits.end(), [&](const auto& aUnit) { return unit == aUnit.first; });
  if (found == kSpanUnits.end()) {
    return std::nullopt;
  }
  const std::int64_t microseconds = found->second;
  if (const auto count = ParseWhole<std::int64_t>(figure)) {
    return *count > INT64_MAX / microseconds ? std::nullopt
                                             : std::optional(Duration(*count * microseconds));
  }
  // Doubles represent all whole numbers of microseconds below this.
  constexpr double kMaxFraction = 9e15;
  const auto fraction = ParseWhole<double>(figure);
  if (!fraction || figure.front() == '.' || figure.back() == '.' ||
      *fraction * static_cast<double>(microseconds) > kMaxFraction) {
    return std::nullopt;
  }
  return Duration(std::llround(*fraction * static_cast<double>(microseconds)));
}

std::string FormatSpan(Duration aSpan)
{
  if (aSpan.count() == 0) {
    return "0s";
  }
  for (const auto& [name, microseconds] : kSpanUnits) {
    if (aSpan.count() % microseconds == 0) {
      return std::to_string(aSpan.count() / microseconds) + std::string(name);
    }
  }
  return std::to_string(aSpan.count()) + "us";
}

std::optional<std::string> ReadTextFile(const std::string& aPath, InputErrorCollector& aErrors)
{
  const std::unique_ptr<std::FILE, decltype(&std::fclose)> file(std::fopen(aPath.c_str(), "rb"),
                                                                &std::fclose);
  if (file == nullptr) {
    aErrors.Add(0, "", "the file can't be opened, expected a readable YAML file");
    return std::nullopt;
  }
  // One byte more than is allowed, so that ParseYamlDocument sees that the file is too large.
  std::string text(kMaximumFileSize + 1, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file.get()));
  if (std::ferror(file.get()) != 0) {
    aErrors.Add(0, "", "the file can't be read, expected a readable YAML file");
    return std::nullopt;
  }
  return text;
}

std::optional<YAML::Node> ParseYamlDocument(const std::string& aText, InputErrorCollector& aErrors)
{
  if (aText.size() > kMaximumFileSize) {
    aErrors.Add(0, "", "the file is larger than 4 MiB, expected at most 4 MiB");
    return std::nullopt;
  }
  YAML::Node document;
  try {
    // YAML::Load alone would ignore what follows the first document. YAML::LoadAll never returns on
    // some texts, such as one that begins with a comma, for which the parser yields empty documents
    // without end; so no more than two are looked at.
    std::istringstream input(aText);
    YAML::Parser parser(input);
    DocumentStarts starts;
    while (starts.lines.size() < 2 && parser.HandleNextDocument(starts)) {
    }
    if (starts.lines.size() > 1) {
      aErrors.Add(starts.lines[1], "", "a second YAML document starts here, expected one");
      return std::nullopt;
    }
    document = YAML::Load(aText);
  } catch (const YAML::Exception& error) {
    aErrors.Add(error.mark.line + 1, "", "this is not YAML: " + error.msg);
    return std::nullopt;
  }
  if (document.IsNull()) {
    aErrors.Add(0, "", "the file has no keys at its top, expected a map of keys");
    return std::nullopt;
  }
  if (!document.IsMap()) {
    aErrors.Add(LineOf(document),
                "",
                "the file is " + std::string(KindOf(document)) + ", expected a map of keys");
    return std::nullopt;
  }
  return document;
}

YamlMap::YamlMap(const YAML::Node& aNode,
                 std::string aPath,
                 const std::vector<std::string_view>& aKnown,
                 InputErrorCollector& aErrors)
  : path(std::move(aPath))
  , line(mustardshift::LineOf(aNode))
  , isMap(aNode.IsMap())
  , errors(aErrors)
{
  if (!this->isMap) {
    this->errors.Add(this->line,
                     this->path,
                     "is " + std::string(KindOf(aNode)) + ", expected a map with the keys " +
                       Join(aKnown));
    return;
  }
  for (const auto& entry : aNode) {
    const int keyLine = mustardshift::LineOf(entry.first);
    if (!entry.first.IsScalar()) {
      this->errors.Add(keyLine, this->path, "a key is no text, expected one of " + Join(aKnown));
      continue;
    }
    const std::string& key = entry.first.Scalar();
    if (std::find(aKnown.begin(), aKnown.end(), key) == aKnown.end()) {
      this->errors.Add(keyLine,
                       this->PathOf(IsIdentifier(key) ? key : Quote(key)),
                       "unknown key, expected one of " + Join(aKnown));
      continue;
    }
    const auto [position, isNew] = this->entries.try_emplace(key, Entry{ keyLine, entry.second });
    if (!isNew) {
      this->errors.Add(keyLine,
                       this->PathOf(key),
                       "repeats the key of line " + std::to_string(position->second.line) +
                         ", expected each key once");
    }
  }
}

bool YamlMap::Has(const std::string& aKey) const
{
  return this->entries.contains(aKey);
}

bool YamlMap::RemoveUnfilled(const std::string& aKey)
{
  const auto entry = this->entries.find(aKey);
  if (entry != this->entries.end()) {
    const YAML::Node& value = entry->second.value;
    if (value.IsNull() || (value.IsScalar() && IsUnfilled(value.Scalar())) ||
        (value.IsSequence() && value.size() == 0)) {
      this->entries.erase(entry);
    }
  }
  return !this->Has(aKey);
}

void YamlMap::Add(const std::string& aKey, const std::string& aText)
{
  this->entries.try_emplace(aKey, Entry{ 0, YAML::Node(aText) });
}

int YamlMap::LineOf(const std::string& aKey) const
{
  const auto entry = this->entries.find(aKey);
  return entry == this->entries.end() ? this->line : entry->second.line;
}

std::string YamlMap::PathOf(const std::string& aKey) const
{
  return this->path.empty() ? aKey : this->path + "." + aKey;
}

void YamlMap::Report(const std::string& aKey, const std::string& aMessage)
{
  this->errors.Add(this->LineOf(aKey), this->PathOf(aKey), aMessage);
}

YAML::Node YamlMap::Value(const std::string& aKey) const
{
  const auto entry = this->entries.find(aKey);
  return entry == this->entries.end() ? YAML::Node(YAML::NodeType::Undefined) : entry->second.value;
}

std::optional<std::string> YamlMap::Scalar(const std::string& aKey,
                                           bool aRequired,
                                           bool aMayBeQuoted,
                                           const std::string& aExpected)
{
  const auto entry = this->entries.find(aKey);
  if (entry == this->entries.end()) {
    if (aRequired && this->isMap) {
      this->Report(aKey, "missing, expected " + aExpected);
    }
    return std::nullopt;
  }
  const YAML::Node& value = entry->second.value;
  if (!value.IsScalar()) {
    this->Report(aKey, "is " + std::string(KindOf(value)) + ", expected " + aExpected);
    return std::nullopt;
  }
  // yaml-cpp marks quoted scalars with the tag "!".
  if (!aMayBeQuoted && value.Tag() == "!") {
    this->Report(aKey, "is quoted text, expected " + aExpected);
    return std::nullopt;
  }
  return value.Scalar();
}

std::string YamlMap::Text(const std::string& aKey, const std::optional<std::string>& aFallback)
{
  const auto text = this->Scalar(aKey, !aFallback.has_value(), true, "text");
  if (!text.has_value()) {
    return aFallback.value_or("");
  }
  if (text->empty() || text->size() > kMaximumTextSize) {
    this->Report(aKey,
                 "has " + std::to_string(text->size()) + " bytes, expected 1 to " +
                   std::to_string(kMaximumTextSize));
  }
  return *text;
}

std::string YamlMap::Identifier(const std::string& aKey,
                                const std::optional<std::string>& aFallback)
{
  const std::string expected = "a name of 1 to 64 letters, digits, '.', '_' or '-'";
  const auto text = this->Scalar(aKey, !aFallback.has_value(), true, expected);
  if (!text.has_value()) {
    return aFallback.value_or("");
  }
  if (!IsIdentifier(*text)) {
    this->Report(aKey, Quote(*text) + " is no name, expected " + expected);
    return "";
  }
  return *text;
}

std::string YamlMap::Address(const std::string& aKey, const std::optional<std::string>& aFallback)
{
  const std::string expected = "an address such as 10.0.0.1:7000 or [fd00::1]:7000";
  const auto text = this->Scalar(aKey, !aFallback.has_value(), true, expected);
  if (!text.has_value()) {
    return aFallback.value_or("");
  }
  if (!IsAddress(*text)) {
    this->Report(aKey, Quote(*text) + " is no address, expected " + expected);
    return "";
  }
  return *text;
}

std::uint64_t YamlMap::Integer(const std::string& aKey,
                               std::uint64_t aLow,
                               std::uint64_t aHigh,
                               std::optional<std::uint64_t> aFallback)
{
  const std::string expected =
    "a whole number from " + std::to_string(aLow) + " to " + std::to_string(aHigh);
  const auto text = this->Scalar(aKey, !aFallback.has_value(), false, expected);
  if (!text.has_value()) {
    return aFallback.value_or(aLow);
  }
  const auto value = ParseWhole<std::uint64_t>(*text);
  if (!value.has_value()) {
    this->Report(aKey, Quote(*text) + " is no such number, expected " + expected);
    return aLow;
  }
  if (*value < aLow || *value > aHigh) {
    this->Report(aKey, *text + " is out of range, expected " + expected);
    return aLow;
  }
  return *value;
}

double YamlMap::Number(const std::string& aKey, double aLow, double aHigh)
{
  const std::string expected = "a number from " + FormatNumber(aLow) + " to " + FormatNumber(aHigh);
  const auto text = this->Scalar(aKey, true, false, expected);
  if (!text.has_value()) {
    return aLow;
  }
  const auto value = ParseWhole<double>(*text);
  if (!value.has_value() || !std::isfinite(*value)) {
    this->Report(aKey, Quote(*text) + " is no such number, expected " + expected);
    return aLow;
  }
  if (*value < aLow || *value > aHigh) {
    this->Report(aKey, Quote(*text) + " is out of range, expected " + expected);
    return aLow;
  }
  return *value;
}

bool YamlMap::Flag(const std::string& aKey, bool aFallback)
{
  const auto text = this->Scalar(aKey, false, false, "true or false");
  if (!text.has_value()) {
    return aFallback;
  }
  if (*text != "true" && *text != "false") {
    this->Report(aKey, Quote(*text) + " is neither, expected true or false");
    return aFallback;
  }
  return *text == "true";
}

Duration YamlMap::Span(const std::string& aKey, Duration aLow, Duration aHigh, Duration aFallback)
{
  const std::string expected = "a span of time from " + FormatSpan(aLow) + " to " +
                               FormatSpan(aHigh) + ", such as 250ms or 2s";
  const auto text = this->Scalar(aKey, false, true, expected);
  if (!text.has_value()) {
    return aFallback;
  }
  const auto span = ParseSpan(*text);
  if (!span.has_value()) {
    this->Report(aKey, Quote(*text) + " is no span of time, expected " + expected);
    return aFallback;
  }
  if (*span < aLow || *span > aHigh) {
    this->Report(aKey, *text + " is out of range, expected " + expected);
    return aFallback;
  }
  return *span;
}

std::vector<YAML::Node> YamlMap::List(const std::string& aKey,
                                      bool aRequired,
                                      std::size_t aMaximumSize)
{
  if (!this->Has(aKey)) {
    if (aRequired && this->isMap) {
      this->Report(aKey, "missing, expected a list");
    }
    return {};
  }
  const YAML::Node list = this->Value(aKey);
  if (!list.IsSequence()) {
    this->Report(aKey, "is " + std::string(KindOf(list)) + ", expected a list");
    return {};
  }
  if (list.size() > aMaximumSize) {
    this->Report(aKey,
                 "has " + std::to_string(list.size()) + " entries, expected at most " +
                   std::to_string(aMaximumSize));
    return {};
  }
  std::vector<YAML::Node> nodes;
  nodes.reserve(list.size());
  for (const auto& node : list) {
    nodes.push_back(node);
  }
  return nodes;
}

} // namespace mustardshift

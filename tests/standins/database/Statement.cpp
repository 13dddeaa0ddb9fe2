#include "standins/database/Statement.h"

#include <charconv>
#include <map>
#include <utility>

namespace mustardshift::standin {

namespace {

/** Splits at spaces and substitutes parameters; returns nothing when their numbers differ. */
std::optional<std::vector<std::string>> Words(const std::string& aText,
                                              const std::vector<std::string>& aParameters)
{
  std::vector<std::string> words;
  std::size_t used = 0;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(' ', start), aText.size());
    std::string word = aText.substr(start, end - start);
    start = end + 1;
    if (word.empty()) {
      continue;
    }
    if (word == "?") {
      if (used == aParameters.size()) {
        return std::nullopt;
      }
      word = aParameters[used++];
    }
    words.push_back(std::move(word));
  }
  if (used != aParameters.size()) {
    return std::nullopt;
  }
  return words;
}

} // namespace

std::optional<Statement> ParseStatement(const std::string& aText,
                                        const std::vector<std::string>& aParameters)
{
  using Kind = Statement::Kind;
  static const std::map<std::string, std::pair<Kind, std::size_t>> kKinds{
    { "PUT", { Kind::Put, 3 } },       { "GET", { Kind::Get, 2 } }, { "SCAN", { Kind::Scan, 2 } },
    { "INSERT", { Kind::Insert, 3 } }, { "ADD", { Kind::Add, 3 } },
  };
  std::size_t length = aText.size();
  for (const std::string& parameter : aParameters) {
    length += parameter.size();
  }
  if (length > Statement::kMaximumBytes) {
    return std::nullopt;
  }
  auto words = Words(aText, aParameters);
  if (!words || words->empty()) {
    return std::nullopt;
  }
  const auto found = kKinds.find(words->front());
  if (found == kKinds.end()) {
    return std::nullopt;
  }
  const auto [kind, wordCount] = found->second;
  // A Scan without a prefix returns all rows.
  const bool scansAll = kind == Kind::Scan && words->size() == 1;
  if (words->size() != wordCount && !scansAll) {
    return std::nullopt;
  }
  Statement statement;
  statement.kind = kind;
  if (!scansAll) {
    statement.key = std::move((*words)[1]);
  }
  if (kind != Kind::Scan && statement.key.empty()) {
    return std::nullopt;
  }
  if (wordCount == 3) {
    statement.value = std::move((*words)[2]);
  }
  if (kind == Kind::Add) {
    const auto number = ParseNumber(statement.value);
    if (!number) {
      return std::nullopt;
    }
    statement.number = *number;
  }
  return statement;
}

std::optional<std::int64_t> ParseNumber(const std::string& aText)
{
  std::int64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

std::string EncodeLogWrite(const std::string& aKey, const std::string& aValue)
{
  return std::to_string(aKey.size()) + " " + aKey + aValue;
}

bool DecodeLogWrite(const std::string& aText, std::string& aKey, std::string& aValue)
{
  const std::size_t space = aText.find(' ');
  if (space == std::string::npos) {
    return false;
  }
  const auto length = ParseNumber(aText.substr(0, space));
  if (!length || *length < 0 || static_cast<std::size_t>(*length) > aText.size() - space - 1) {
    return false;
  }
  aKey = aText.substr(space + 1, static_cast<std::size_t>(*length));
  aValue = aText.substr(space + 1 + aKey.size());
  return true;
}

} // namespace mustardshift::standin

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** A parsed statement of the stand-in's language. */
struct Statement
{
  enum class Kind
  {
    Put,
    Get,
    Scan,
    Insert,
    Add,
  };

  /** Largest statement with its parameters. */
  static constexpr std::size_t kMaximumBytes = std::size_t{ 1 } << 20;

  Kind kind = Kind::Get;
  /** The key, or the prefix of a Scan (may be empty). */
  std::string key;
  std::string value;
  std::int64_t number = 0;

  bool IsRead() const { return this->kind == Kind::Get || this->kind == Kind::Scan; }
};

/** Parses `PUT key value`, `GET key`, `SCAN prefix`, `INSERT key value` or `ADD key number`. Words
    are separated by spaces; the word `?` stands for the next parameter, which may contain any
    bytes. Returns nothing when the statement is malformed, too long, or has another number of
    parameters. Thread safety: pure. */
std::optional<Statement> ParseStatement(const std::string& aText,
                                        const std::vector<std::string>& aParameters);

/** Returns a decimal number, or nothing. Thread safety: pure. */
std::optional<std::int64_t> ParseNumber(const std::string& aText);

/** Form in which a write is kept in the log: the key's length, a space, the key and the value.
    Thread safety: pure. */
std::string EncodeLogWrite(const std::string& aKey, const std::string& aValue);

/** Reverses EncodeLogWrite. Returns false when the text is malformed. Thread safety: pure. */
bool DecodeLogWrite(const std::string& aText, std::string& aKey, std::string& aValue);

} // namespace mustardshift::standin

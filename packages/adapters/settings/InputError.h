#pragma once

#include <string>
#include <vector>

namespace mustardshift {

/** One fault of a settings or schema file. */
struct InputError
{
  std::string file;
  /** Counted from 1; 0 when the fault belongs to no line, such as an unreadable file. */
  int line = 0;
  /** Path of the key, for example "peers[0].address"; empty for the file as a whole. */
  std::string key;
  /** What is wrong, and what was expected. */
  std::string message;

  /** Returns "file:line: key: message" on one line. */
  std::string ToString() const;

  friend bool operator==(const InputError&, const InputError&) = default;
};

/** All faults of a file, in the order of their lines. */
using InputErrors = std::vector<InputError>;

/** Returns the faults, one a line. Thread safety: pure. */
std::string ToString(const InputErrors& aErrors);

} // namespace mustardshift

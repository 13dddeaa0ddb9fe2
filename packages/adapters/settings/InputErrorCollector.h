#pragma once

#include "adapters/settings/InputError.h"

#include <string>

namespace mustardshift {

/** Collects the faults of one file while it is read.

    Thread safety: none; one collector belongs to one reading thread. */
class InputErrorCollector
{
public:
  /** @param aFile  name of the file, as faults show it. */
  explicit InputErrorCollector(std::string aFile);

  /** Adds a fault. Faults beyond the hundredth are dropped, so that a damaged file yields a
      readable report. */
  void Add(int aLine, std::string aKey, std::string aMessage);

  bool IsEmpty() const { return this->errors.empty(); }

  /** Returns the faults in the order of their lines, and leaves the collector empty. */
  InputErrors Take();

private:
  std::string file;
  InputErrors errors;
};

} // namespace mustardshift

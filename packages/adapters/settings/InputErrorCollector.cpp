#include "adapters/settings/InputErrorCollector.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

constexpr std::size_t kMaximumErrors = 100;

} // namespace

InputErrorCollector::InputErrorCollector(std::string aFile)
  : file(std::move(aFile))
{
}

void InputErrorCollector::Add(int aLine, std::string aKey, std::string aMessage)
{
  if (this->errors.size() < kMaximumErrors) {
    this->errors.push_back(InputError{ this->file, aLine, std::move(aKey), std::move(aMessage) });
  }
}

InputErrors InputErrorCollector::Take()
{
  std::stable_sort(
    this->errors.begin(),
    this->errors.end(),
    [](const InputError& aLeft, const InputError& aRight) { return aLeft.line < aRight.line; });
  return std::exchange(this->errors, {});
}

} // namespace mustardshift

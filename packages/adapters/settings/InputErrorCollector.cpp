#include "adapters/settings/InputErrorCollector.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

constexpr std::size_t kMaximumErrors = 100;

/** Keeps a fault on one line: values and yaml-cpp's messages may contain line feeds. */
std::string OnOneLine(std::string aText)
{
  std::replace_if(
    aText.begin(),
    aText.end(),
    [](char aCharacter) {
      const auto code = static_cast<unsigned char>(aCharacter);
      return code < 0x20 || code == 0x7f;
    },
    ' ');
  return aText;
}

} // namespace

InputErrorCollector::InputErrorCollector(std::string aFile)
  : file(std::move(aFile))
{
}

void InputErrorCollector::Add(int aLine, std::string aKey, std::string aMessage)
{
  if (this->errors.size() < kMaximumErrors) {
    this->errors.push_back(
      InputError{ this->file, aLine, OnOneLine(std::move(aKey)), OnOneLine(std::move(aMessage)) });
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

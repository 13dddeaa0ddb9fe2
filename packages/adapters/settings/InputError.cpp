#include "adapters/settings/InputError.h"

namespace mustardshift {

std::string InputError::ToString() const
{
  std::string text = this->file + ":";
  if (this->line > 0) {
    text += std::to_string(this->line) + ":";
  }
  text += " ";
  if (!this->key.empty()) {
    text += this->key + ": ";
  }
  return text + this->message;
}

std::string ToString(const InputErrors& aErrors)
{
  std::string text;
  for (const InputError& error : aErrors) {
    text += text.empty() ? "" : "\n";
    text += error.ToString();
  }
  return text;
}

} // namespace mustardshift

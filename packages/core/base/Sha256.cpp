#include "core/base/Sha256.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace mustardshift {

std::string Sha256Hex(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), digest.data());
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

bool IsSha256Hex(std::string_view aText)
{
  const auto isDigit = [](char aByte) {
    return (aByte >= '0' && aByte <= '9') || (aByte >= 'a' && aByte <= 'f');
  };
  return aText.size() == 64 && std::all_of(aText.begin(), aText.end(), isDigit);
}

} // namespace mustardshift

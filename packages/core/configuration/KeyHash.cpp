#include "core/configuration/KeyHash.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace mustardshift {

bool IsWellFormedKey(std::string_view aKey)
{
  const auto isPrintable = [](char aByte) { return aByte >= ' ' && aByte <= '~'; };
  return !aKey.empty() && aKey.size() <= kMaxKeyBytes &&
         std::all_of(aKey.begin(), aKey.end(), isPrintable);
}

std::string KeyHash(std::string_view aKey)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest.data());
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

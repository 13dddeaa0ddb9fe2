#include "ctl/ApiKeyGenerator.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <span>
#include <string_view>

namespace mustardshift {

namespace {

std::string ToHexadecimal(std::span<const unsigned char> aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xf];
  }
  return text;
}

template<std::size_t Size>
std::optional<std::string> RandomHexadecimal()
{
  std::array<unsigned char, Size> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return std::nullopt;
  }
  return ToHexadecimal(bytes);
}

} // namespace

std::optional<GeneratedApiKey> GenerateApiKey()
{
  const auto digits = RandomHexadecimal<32>();
  if (!digits.has_value()) {
    return std::nullopt;
  }
  GeneratedApiKey generated;
  generated.key = "msk_" + *digits;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  if (EVP_Digest(
        generated.key.data(), generated.key.size(), digest.data(), &size, EVP_sha256(), nullptr) !=
      1) {
    return std::nullopt;
  }
  generated.hash = ToHexadecimal(std::span(digest.data(), size));
  return generated;
}

std::optional<std::string> GenerateOperationId()
{
  return RandomHexadecimal<16>();
}

} // namespace mustardshift

#include "daemon/request/RandomHexadecimal.h"

#include "core/base/Assert.h"

#include <openssl/rand.h>
#include <string_view>
#include <vector>

namespace mustardshift {

std::string RandomHexadecimal(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  MUSTARDSHIFT_ASSERT(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aBytes);
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xFU];
  }
  return text;
}

} // namespace mustardshift

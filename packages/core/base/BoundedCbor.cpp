#include "core/base/BoundedCbor.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardshift {

namespace {

/** Checks that the bytes are one well-formed item of bounded depth. */
bool IsBounded(std::string_view aBytes)
{
  // Items that are still to come, for each open array or map.
  std::vector<std::uint64_t> open{ 1 };
  std::size_t next = 0;
  while (!open.empty()) {
    if (open.back() == 0) {
      open.pop_back();
      continue;
    }
    --open.back();
    if (next == aBytes.size()) {
      return false;
    }
    const auto head = static_cast<unsigned char>(aBytes[next++]);
    const unsigned major = head >> 5U;
    const unsigned information = head & 31U;
    std::uint64_t argument = information;
    if (information >= 28) {
      return false; // reserved, or an indefinite length
    }
    if (information >= 24) {
      const std::size_t length = std::size_t{ 1 } << (information - 24);
      if (aBytes.size() - next < length) {
        return false;
      }
      argument = 0;
      for (std::size_t i = 0; i < length; ++i) {
        argument = argument << 8U | static_cast<unsigned char>(aBytes[next++]);
      }
    }
    const std::size_t rest = aBytes.size() - next;
    switch (major) {
      case 2: // bytes
      case 3: // text
        if (argument > rest) {
          return false;
        }
        next += argument;
        break;
      case 4: // array
      case 5: // map
        // Each item takes a byte at least, so a larger count can't be true.
        if (argument > rest || open.size() > kMaximumCborDepth) {
          return false;
        }
        open.push_back(major == 5 ? 2 * argument : argument);
        break;
      case 6: // tag
        return false;
      default:
        break;
    }
  }
  return next == aBytes.size();
}

} // namespace

std::optional<nlohmann::json> ParseBoundedCbor(std::string_view aBytes)
{
  if (!IsBounded(aBytes)) {
    return std::nullopt;
  }
  nlohmann::json value = nlohmann::json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

std::string ToCbor(const nlohmann::json& aValue)
{
  std::string bytes;
  nlohmann::json::to_cbor(aValue, bytes);
  return bytes;
}

} // namespace mustardshift

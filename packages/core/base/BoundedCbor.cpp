#include "core/base/BoundedCbor.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace mustardshift {

namespace {

/** Checks that aBytes holds exactly one CBOR item that nests no deeper than kMaxCborDepth and
    uses neither tags nor indefinite lengths. */
bool HasBoundedStructure(std::string_view aBytes)
{
  // Number of items not parsed yet, for each array or map that encloses the current position.
  std::vector<std::uint64_t> remainingItems{ 1 };
  std::size_t next = 0;
  while (!remainingItems.empty()) {
    if (remainingItems.back() == 0) {
      remainingItems.pop_back();
      continue;
    }
    --remainingItems.back();
    if (next == aBytes.size()) {
      return false;
    }
    const auto head = static_cast<unsigned char>(aBytes[next++]);
    const unsigned majorType = head >> 5U;
    const unsigned additionalInformation = head & 31U;
    std::uint64_t argument = additionalInformation;
    if (additionalInformation >= 28) {
      return false; // a reserved value or an indefinite length
    }
    if (additionalInformation >= 24) {
      const std::size_t length = std::size_t{ 1 } << (additionalInformation - 24);
      if (aBytes.size() - next < length) {
        return false;
      }
      argument = 0;
      for (std::size_t i = 0; i < length; ++i) {
        argument = argument << 8U | static_cast<unsigned char>(aBytes[next++]);
      }
    }
    const std::size_t rest = aBytes.size() - next;
    switch (majorType) {
      case 2: // bytes
      case 3: // text
        if (argument > rest) {
          return false;
        }
        next += argument;
        break;
      case 4: // array
      case 5: // map
        // Each item takes at least one byte, so a count above the remaining bytes is invalid.
        if (argument > rest || remainingItems.size() > kMaxCborDepth) {
          return false;
        }
        remainingItems.push_back(majorType == 5 ? 2 * argument : argument);
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
  if (!HasBoundedStructure(aBytes)) {
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

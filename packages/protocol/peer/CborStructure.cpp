#include "protocol/peer/CborStructure.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace mustardshift {

namespace {

// Maximum number of nested arrays and maps. A message is a map of arrays of arrays of scalars,
// which takes three levels.
constexpr std::size_t kMaxNestingDepth = 4;

/** Major types of CBOR (RFC 8949, section 3.1). */
enum class MajorType : std::uint8_t
{
  Unsigned = 0,
  Negative = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7,
};

/** Reads the argument that belongs to an initial byte. Returns nothing when the bytes end within
    the argument, and for indefinite lengths and reserved values. */
std::optional<std::uint64_t> ReadArgument(std::span<const std::uint8_t> aBytes,
                                          std::size_t& aOffset,
                                          std::uint8_t aAdditionalInformation)
{
  constexpr std::uint8_t kOneByteArgument = 24;
  constexpr std::uint8_t kEightByteArgument = 27;
  if (aAdditionalInformation < kOneByteArgument) {
    return aAdditionalInformation;
  }
  if (aAdditionalInformation > kEightByteArgument) {
    return std::nullopt;
  }
  const std::size_t size = std::size_t{ 1 } << (aAdditionalInformation - kOneByteArgument);
  if (aBytes.size() - aOffset < size) {
    return std::nullopt;
  }
  std::uint64_t argument = 0;
  for (std::size_t i = 0; i < size; ++i) {
    argument = (argument << 8U) | aBytes[aOffset++];
  }
  return argument;
}

} // namespace

bool HasValidPeerMessageStructure(std::span<const std::uint8_t> aBytes)
{
  // Number of items still expected in each enclosing array or map. Parsing the bytes with
  // nlohmann::json first would be unsafe: its parser is recursive, so that 64 KiB of bytes that
  // each start a nested item would exhaust the call stack.
  std::vector<std::uint64_t> remainingItems{ 1 };
  std::size_t offset = 0;
  while (!remainingItems.empty()) {
    if (remainingItems.back() == 0) {
      remainingItems.pop_back();
      continue;
    }
    --remainingItems.back();
    if (offset == aBytes.size()) {
      return false;
    }
    const std::uint8_t initialByte = aBytes[offset++];
    const auto type = static_cast<MajorType>(initialByte >> 5U);
    const std::optional<std::uint64_t> argument = ReadArgument(aBytes, offset, initialByte & 0x1FU);
    if (!argument) {
      return false;
    }
    const std::size_t remainingBytes = aBytes.size() - offset;
    switch (type) {
      case MajorType::Unsigned:
      case MajorType::Negative:
      case MajorType::Simple:
        break;
      case MajorType::Bytes:
      case MajorType::Text:
        if (*argument > remainingBytes) {
          return false;
        }
        offset += *argument;
        break;
      case MajorType::Array:
      case MajorType::Map:
        // Each item takes at least one byte.
        if (*argument > remainingBytes || remainingItems.size() > kMaxNestingDepth) {
          return false;
        }
        remainingItems.push_back(type == MajorType::Map ? 2 * *argument : *argument);
        break;
      case MajorType::Tag:
        return false;
    }
  }
  return offset == aBytes.size();
}

} // namespace mustardshift

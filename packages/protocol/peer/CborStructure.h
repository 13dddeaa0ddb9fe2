#pragma once

#include <cstdint>
#include <span>

namespace mustardshift {

/** Returns whether the bytes are exactly one well-formed CBOR item of definite lengths, without
    tags, nested at most as deeply as peer messages are. Thread safety: pure. */
bool HasValidPeerMessageStructure(std::span<const std::uint8_t> aBytes);

} // namespace mustardshift

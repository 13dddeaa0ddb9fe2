#pragma once

#include "core/base/Outcome.h"
#include "protocol/peer/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace mustardshift {

/** Largest peer message in bytes, in both directions. */
inline constexpr std::size_t kPeerMessageSizeLimit = std::size_t{ 64 } * 1024;

/** Encodes a message as CBOR. Refuses a message above kPeerMessageSizeLimit, and one whose numbers
    Decode would refuse. Thread safety: pure. */
Outcome<std::vector<std::uint8_t>> EncodePeerMessage(const PeerMessage& aMessage);

/** Decodes CBOR bytes from anywhere. Unknown keys are ignored, so that newer senders may add some;
    a missing or ill-typed field, trailing bytes, nesting beyond what messages need and an unknown
    kind of message are refused. Thread safety: pure. */
Outcome<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> aBytes);

} // namespace mustardshift

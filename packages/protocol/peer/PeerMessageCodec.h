#pragma once

#include "core/base/Outcome.h"
#include "protocol/peer/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace mustardshift {

/** Maximum size of an encoded peer message in bytes, for sending and for receiving. */
inline constexpr std::size_t kPeerMessageSizeLimit = std::size_t{ 64 } * 1024;

/** Encodes a message as CBOR. Fails with Reason::RequestMalformed when the encoded message is
    larger than kPeerMessageSizeLimit, when the sender is empty or the message id is zero, when a
    duration or a number of units is negative, and when a number of tokens is negative or not
    finite; DecodePeerMessage would refuse such a message. Thread safety: pure. */
Outcome<std::vector<std::uint8_t>> EncodePeerMessage(const PeerMessage& aMessage);

/** Decodes CBOR bytes from an untrusted source. Ignores unknown keys, so that newer senders can add
    fields. Fails with Reason::RequestMalformed when the message is larger than
    kPeerMessageSizeLimit, is not well-formed, has tags, indefinite lengths or trailing bytes, is
    nested too deeply, is of an unknown kind, or has a field that is missing, of the wrong type or
    out of range. Thread safety: pure. */
Outcome<PeerMessage> DecodePeerMessage(std::span<const std::uint8_t> aBytes);

} // namespace mustardshift

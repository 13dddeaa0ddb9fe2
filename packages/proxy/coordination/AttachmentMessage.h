#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/coordination/FleetRoster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace mustardshift::proxy {

/** Tells a member that the sender runs, and asks for what an attached VM needs. */
struct AttachmentRequest
{
  VmId sender;
  /** Address for the answer, "IP:port". */
  std::string replyAddress;
  FailureDomainName domain;
  /** Identify the request in the answer. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;

  friend bool operator==(const AttachmentRequest&, const AttachmentRequest&) = default;
};

struct AttachmentAnswer
{
  /** Copied from the request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** TableDigest of the member's copy of the operators' table. */
  std::uint64_t operatorDigest = 0;
  /** Age of the latest confirmation that this copy was current. */
  Duration operatorAge{ 0 };
  /** TableDigest of the member's copy of the list of servers. */
  std::uint64_t serverDigest = 0;
  /** The failure domain needs a further member, and the receiver is to become one. */
  bool isInvited = false;
  FleetRoster roster;

  friend bool operator==(const AttachmentAnswer&, const AttachmentAnswer&) = default;
};

/** Tells an attached VM that the member's copy of a table has changed, so that it asks at once. */
struct AttachmentNotice
{
  VmId sender;

  friend bool operator==(const AttachmentNotice&, const AttachmentNotice&) = default;
};

using AttachmentMessage = std::variant<AttachmentRequest, AttachmentAnswer, AttachmentNotice>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodeAttachmentMessage(const AttachmentMessage& aMessage);

/** Decodes what EncodeAttachmentMessage() produced. Returns nothing if the bytes are malformed or
    another kind of message. Thread safety: pure. */
std::optional<AttachmentMessage> DecodeAttachmentMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

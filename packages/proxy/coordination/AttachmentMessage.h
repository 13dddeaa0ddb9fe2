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

/** Tells a member that the sender runs, and asks for what an attached VM needs. A member that does
    not watch the store's tables sends it too. */
struct AttachmentRequest
{
  VmId sender;
  /** Address for the answer, "IP:port". */
  std::string replyAddress;
  FailureDomainName domain;
  /** Identify the request in the answer. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** The sender is a member, which is counted by its row. */
  bool isMember = false;

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

/** Tells a VM that the member's copy of the operators' table has been confirmed since its latest
    request. */
struct ConfirmationNotice
{
  /** Copied from the receiver's latest request. */
  std::uint64_t incarnation = 0;
  std::uint64_t number = 0;
  /** TableDigest of the member's copy of the operators' table. */
  std::uint64_t operatorDigest = 0;
  /** Time from the arrival of that request until the instant as of which the copy is confirmed.
      The receiver adds it to the time at which it sent the request, so that neither a late notice
      nor clocks that differ can make the confirmation look newer than it is. */
  Duration sinceRequest{ 0 };

  friend bool operator==(const ConfirmationNotice&, const ConfirmationNotice&) = default;
};

using AttachmentMessage =
  std::variant<AttachmentRequest, AttachmentAnswer, AttachmentNotice, ConfirmationNotice>;

/** Encodes a message as CBOR. Thread safety: pure. */
std::string EncodeAttachmentMessage(const AttachmentMessage& aMessage);

/** Decodes what EncodeAttachmentMessage() produced. Returns nothing if the bytes are malformed or
    another kind of message. Thread safety: pure. */
std::optional<AttachmentMessage> DecodeAttachmentMessage(std::string_view aBytes);

} // namespace mustardshift::proxy

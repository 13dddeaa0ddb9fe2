#pragma once

#include "proxy/cluster/ServerRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift::proxy {

/** What is stored of the promotions of one group whose commits are acknowledged by replicas, so
   that the next holder of the promotion lease continues where the previous one stopped. */
struct PromotionRecord
{
  /** The primary that is being replaced, or else the present one; empty if none was listed. */
  ServerId primary;
  /** Term of that primary, as far as the replicas know it. */
  std::uint64_t term = 0;
  /** Whether an order to promote a replica may still be carried out. Set before the first order is
      sent, and reset once another server than `primary` leads the group. Until then no replica may
      receive commits, since the promoted one would lack them. */
  bool isOrderOpen = false;

  friend bool operator==(const PromotionRecord&, const PromotionRecord&) = default;
};

/** Encodes a record as CBOR. Thread safety: pure. */
std::string EncodePromotionRecord(const PromotionRecord& aRecord);

/** Decodes what EncodePromotionRecord() produced. Returns nothing if the bytes are malformed.
    Thread safety: pure. */
std::optional<PromotionRecord> DecodePromotionRecord(std::string_view aBytes);

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift::proxy {

/** Stores which VM holds the promotion lease, that is, may order promotions. The row has no expiry
    time: the holder renews the lease by writing its MemberRow. Writes are conditional on the row's
    version, so that no two holders get the same fencing token. */
struct PromotionLeaseRow
{
  VmId holder;
  /** Increased each time a VM claims the lease and before each promotion order. */
  std::uint64_t fencingToken = 0;

  friend bool operator==(const PromotionLeaseRow&, const PromotionLeaseRow&) = default;
};

/** Encodes a row as CBOR. Thread safety: pure. */
std::string EncodePromotionLeaseRow(const PromotionLeaseRow& aRow);

/** Decodes what EncodePromotionLeaseRow() produced. Returns nothing if the bytes are malformed.
    Thread safety: pure. */
std::optional<PromotionLeaseRow> DecodePromotionLeaseRow(std::string_view aBytes);

} // namespace mustardshift::proxy

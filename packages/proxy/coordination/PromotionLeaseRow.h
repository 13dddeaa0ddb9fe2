#pragma once

#include "core/base/Names.h"
#include "proxy/coordination/StoreVersion.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift::proxy {

/** Stores which VM holds the promotion lease, that is, may order promotions. The row has no expiry
    time: the holder renews the lease by writing its MemberRow. Each write is conditional on the
   row's version, and the version of the write becomes the next fencing token (FencingTokenOf()). */
struct PromotionLeaseRow
{
  VmId holder;
  /** Latest token that was known when the row was written; that of this write is larger. */
  std::uint64_t fencingToken = 0;

  friend bool operator==(const PromotionLeaseRow&, const PromotionLeaseRow&) = default;
};

/** Number of bits of a fencing token that hold the number of the version; the bits above hold the
    era. Tokens stay below 2^53, which each reader of JSON numbers represents exactly. */
inline constexpr unsigned kFencingNumberBits = 37;
inline constexpr unsigned kFencingEraBits = 16;

/** The fencing token that belongs to a write of the lease row: no other write has the same one, and
    that of a later write is larger, also when the store has returned from an older copy in between.
    Returns nothing if the version exceeds what a token can hold. Thread safety: pure. */
std::optional<std::uint64_t> FencingTokenOf(StoreVersion aVersion);

/** Encodes a row as CBOR. Thread safety: pure. */
std::string EncodePromotionLeaseRow(const PromotionLeaseRow& aRow);

/** Decodes what EncodePromotionLeaseRow() produced. Returns nothing if the bytes are malformed.
    Thread safety: pure. */
std::optional<PromotionLeaseRow> DecodePromotionLeaseRow(std::string_view aBytes);

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mustardshift::proxy {

/** Who orders promotions. The row is changed under its version only, so that a fence belongs to one
    holder. */
struct PromotionLeaseRow
{
  VmId holder;
  /** Grows with each holder and with each order that replaces another. */
  std::uint64_t fencingToken = 0;

  friend bool operator==(const PromotionLeaseRow&, const PromotionLeaseRow&) = default;
};

/** Writes a row as CBOR. Thread safety: pure. */
std::string EncodePromotionLeaseRow(const PromotionLeaseRow& aRow);

/** Reads what EncodePromotionLeaseRow() wrote; nothing when the bytes are malformed. Thread safety:
 * pure. */
std::optional<PromotionLeaseRow> DecodePromotionLeaseRow(std::string_view aBytes);

} // namespace mustardshift::proxy

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** One row of a table of the store. */
struct StoredRow
{
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  /** In a list of changes: the row was removed. */
  bool isRemoved = false;
};

/** Rows of a table as of one version of the store; a whole table or what has changed in it. */
struct StoredRows
{
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;
  /** The store's own steady clock when it answered; nothing when it told no time. */
  std::optional<std::chrono::milliseconds> storeTime;
};

/** A write or a removal of one row. */
struct RowChange
{
  std::string table;
  std::string key;
  /** Nothing removes the row. */
  std::optional<std::string> value;
  /** Version that the row must have; 0 when it must not exist; nothing for any. */
  std::optional<std::uint64_t> expectedVersion;
};

} // namespace mustardshift::proxy

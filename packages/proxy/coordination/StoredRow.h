#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** A row of a table in the store. */
struct StoredRow
{
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  /** In a list of changes: whether the row was removed. */
  bool isRemoved = false;
};

/** Rows of a table at one version of the store: either the whole table or the rows that changed. */
struct StoredRows
{
  std::vector<StoredRow> rows;
  std::uint64_t version = 0;
  /** Time on the store's monotonic clock when it answered; nothing if the store did not report
      it. */
  std::optional<std::chrono::milliseconds> storeTime;
};

/** A write or removal of one row. */
struct RowChange
{
  std::string table;
  std::string key;
  /** New value; nothing to remove the row. */
  std::optional<std::string> value;
  /** Version that the row must have for the change to be applied: 0 if the row must not exist,
      nothing to apply the change to any version. */
  std::optional<std::uint64_t> expectedVersion;
};

} // namespace mustardshift::proxy

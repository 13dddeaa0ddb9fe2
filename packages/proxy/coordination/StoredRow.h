#pragma once

#include "proxy/coordination/StoreVersion.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** A row of a table in the store. */
struct StoredRow
{
  std::string key;
  std::string value;
  StoreVersion version;
  /** In a list of changes: whether the row was removed. */
  bool isRemoved = false;
};

/** Rows of a table at one version of the store: either the whole table or the rows that changed. */
struct StoredRows
{
  std::vector<StoredRow> rows;
  StoreVersion version;
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
  /** Version that the row must have for the change to be applied: number 0 if the row must not
      exist, nothing to apply the change to any version. */
  std::optional<StoreVersion> expectedVersion;
};

} // namespace mustardshift::proxy

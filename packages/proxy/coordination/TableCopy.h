#pragma once

#include "proxy/coordination/StoredRow.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardshift::proxy {

/** A VM's copy of a table of the store. VMs compare their copies by a digest of the rows' versions,
    and pass whole copies to each other.

    Thread safety: none; one thread owns the object. */
class TableCopy
{
public:
  /** Replaces all rows by the result of reading the whole table. */
  void ReplaceRows(const StoredRows& aRows);
  /** Applies added, changed and removed rows. */
  void ApplyRowChanges(const StoredRows& aRows);

  /** Rows in the order of their keys. */
  const std::map<std::string, StoredRow>& Rows() const { return this->rows; }
  /** Version of the store that the rows reflect; zero before the first read. */
  StoreVersion Version() const { return this->version; }
  /** Digest of the rows and the era: equal for equal copies, and zero before the first read. */
  std::uint64_t Digest() const { return this->digest; }

private:
  void UpdateDigest();

  std::map<std::string, StoredRow> rows;
  StoreVersion version;
  std::uint64_t digest = 0;
};

} // namespace mustardshift::proxy

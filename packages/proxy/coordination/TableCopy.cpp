#include "proxy/coordination/TableCopy.h"

#include "proxy/coordination/StableHash.h"

namespace mustardshift::proxy {

void TableCopy::ReplaceRows(const StoredRows& aRows)
{
  this->rows.clear();
  this->digest = 0;
  this->ApplyRowChanges(aRows);
}

void TableCopy::ApplyRowChanges(const StoredRows& aRows)
{
  for (const StoredRow& row : aRows.rows) {
    if (row.isRemoved) {
      this->rows.erase(row.key);
    } else {
      this->rows[row.key] = row;
    }
  }
  this->version = aRows.version;
  if (!aRows.rows.empty() || this->digest == 0) {
    this->UpdateDigest();
  }
}

void TableCopy::UpdateDigest()
{
  // Rows of two eras can have the same keys and numbers but different values.
  std::string text = this->version.era == 0 ? "" : std::to_string(this->version.era) + '\n';
  for (const auto& [key, row] : this->rows) {
    text += key + '\n' + std::to_string(row.version.number) + '\n';
  }
  this->digest = StableHash(text);
}

} // namespace mustardshift::proxy

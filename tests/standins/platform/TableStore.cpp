#include "standins/platform/TableStore.h"

namespace mustardshift::standin {

namespace v1 = platform::v1;

v1::CommitResponse TableStore::Commit(const v1::CommitRequest& aRequest)
{
  const std::lock_guard lock(this->mutex);
  v1::CommitResponse response;
  for (const v1::Precondition& precondition : aRequest.preconditions()) {
    const std::uint64_t version = this->VersionOf(precondition.key());
    if (version == precondition.version()) {
      continue;
    }
    v1::Row& conflict = *response.add_conflicts();
    conflict.set_key(precondition.key());
    conflict.set_version(version);
    if (version != 0) {
      conflict.set_value(this->cells.at(precondition.key()).value);
    }
  }
  if (response.conflicts_size() > 0) {
    return response;
  }
  for (const v1::Write& write : aRequest.writes()) {
    if (write.remove() && !this->cells.contains(write.key())) {
      continue;
    }
    Cell& cell = this->cells[write.key()];
    ++cell.version;
    cell.exists = !write.remove();
    cell.value = write.remove() ? std::string() : write.value();
  }
  response.set_committed(true);
  return response;
}

v1::ReadResponse TableStore::Read(const v1::ReadRequest& aRequest) const
{
  const std::lock_guard lock(this->mutex);
  v1::ReadResponse response;
  for (const std::string& key : aRequest.keys()) {
    const auto found = this->cells.find(key);
    if (found == this->cells.end() || !found->second.exists) {
      continue;
    }
    v1::Row& row = *response.add_rows();
    row.set_key(key);
    row.set_value(found->second.value);
    row.set_version(found->second.version);
  }
  return response;
}

v1::ReadResponse TableStore::Scan(const v1::ScanRequest& aRequest) const
{
  const std::lock_guard lock(this->mutex);
  v1::ReadResponse response;
  for (auto cell = this->cells.lower_bound(aRequest.prefix());
       cell != this->cells.end() && cell->first.starts_with(aRequest.prefix());
       ++cell) {
    if (aRequest.limit() != 0 && response.rows_size() >= static_cast<int>(aRequest.limit())) {
      break;
    }
    if (!cell->second.exists) {
      continue;
    }
    v1::Row& row = *response.add_rows();
    row.set_key(cell->first);
    row.set_value(cell->second.value);
    row.set_version(cell->second.version);
  }
  return response;
}

std::uint64_t TableStore::VersionOf(const std::string& aKey) const
{
  const auto found = this->cells.find(aKey);
  return found == this->cells.end() || !found->second.exists ? 0 : found->second.version;
}

} // namespace mustardshift::standin

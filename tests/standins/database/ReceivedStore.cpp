#include "standins/database/ReceivedStore.h"

#include <utility>

namespace mustardshift::standin {

void ReceivedStore::Add(std::string aRecord)
{
  const std::lock_guard lock(this->mutex);
  if (this->bytes + aRecord.size() > kCapacity) {
    ++this->lost;
    return;
  }
  this->bytes += aRecord.size() + sizeof(std::string);
  this->records.push_back(std::move(aRecord));
}

standin::v1::DumpReceivedResponse ReceivedStore::Dump(
  const standin::v1::DumpReceivedRequest& aRequest)
{
  constexpr std::size_t kMaximumDumpBytes = std::size_t{ 1 } << 20;
  const std::lock_guard lock(this->mutex);
  standin::v1::DumpReceivedResponse response;
  std::size_t returned = 0;
  std::size_t next = aRequest.first();
  for (; next < this->records.size() && returned < kMaximumDumpBytes; ++next) {
    const std::string& record = this->records[next];
    if (record.find(aRequest.containing()) != std::string::npos) {
      response.add_records(record);
      returned += record.size() + 1;
    }
  }
  response.set_next(next);
  response.set_total(this->records.size());
  response.set_lost(this->lost);
  return response;
}

} // namespace mustardshift::standin

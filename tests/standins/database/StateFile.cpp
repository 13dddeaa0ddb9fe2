#include "standins/database/StateFile.h"

#include "core/base/Assert.h"

#include <cstdint>
#include <unistd.h>
#include <utility>

namespace mustardshift::standin {

StateFile::StateFile(const std::string& aPath)
{
  if (aPath.empty()) {
    return;
  }
  this->file.reset(std::fopen(aPath.c_str(), "a+b"));
  MUSTARDSHIFT_ASSERT(this->file);
  this->Read();
}

std::vector<standin::v1::StateRecord> StateFile::TakeRecords()
{
  return std::exchange(this->records, {});
}

void StateFile::Append(const standin::v1::StateRecord& aRecord)
{
  if (!this->file) {
    return;
  }
  const std::string bytes = aRecord.SerializeAsString();
  const auto length = static_cast<std::uint32_t>(bytes.size());
  // One write per record, so that a killed process leaves at most its last record incomplete.
  std::string framed(reinterpret_cast<const char*>(&length), sizeof(length));
  framed += bytes;
  std::fwrite(framed.data(), 1, framed.size(), this->file.get());
  std::fflush(this->file.get());
}

void StateFile::Read()
{
  std::rewind(this->file.get());
  std::uint32_t length = 0;
  long complete = 0;
  while (std::fread(&length, sizeof(length), 1, this->file.get()) == 1) {
    std::string bytes(length, '\0');
    standin::v1::StateRecord record;
    if (std::fread(bytes.data(), 1, length, this->file.get()) != length ||
        !record.ParseFromString(bytes)) {
      break;
    }
    complete = std::ftell(this->file.get());
    this->records.push_back(std::move(record));
  }
  // An incomplete record of a killed process must not stand before the next one.
  MUSTARDSHIFT_ASSERT(ftruncate(fileno(this->file.get()), complete) == 0);
  std::fseek(this->file.get(), 0, SEEK_END);
}

} // namespace mustardshift::standin

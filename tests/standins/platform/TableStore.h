#pragma once

#include "platform.pb.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** The rows of the platform's table. Thread safety: each method is one atomic step. */
class TableStore
{
public:
  /** Applies all writes when every precondition holds, else none. */
  platform::v1::CommitResponse Commit(const platform::v1::CommitRequest& aRequest);
  platform::v1::ReadResponse Read(const platform::v1::ReadRequest& aRequest) const;
  platform::v1::ReadResponse Scan(const platform::v1::ScanRequest& aRequest) const;

private:
  struct Cell
  {
    std::string value;
    /** Kept when the row is removed, so that a row created anew never repeats a version. */
    std::uint64_t version = 0;
    bool exists = false;
  };

  std::uint64_t VersionOf(const std::string& aKey) const;

  mutable std::mutex mutex;
  std::map<std::string, Cell> cells;
};

} // namespace mustardshift::standin

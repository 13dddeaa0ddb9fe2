#pragma once

#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** Keeps everything a server received, up to kCapacity bytes, for tests that search it for what
    must never reach a database. Thread safety: all methods may be called from any thread. */
class ReceivedStore
{
public:
  static constexpr std::size_t kCapacity = std::size_t{ 64 } << 20;

  void Add(std::string aRecord);
  standin::v1::DumpReceivedResponse Dump(const standin::v1::DumpReceivedRequest& aRequest);

private:
  std::mutex mutex;
  std::vector<std::string> records;
  std::size_t bytes = 0;
  std::uint64_t lost = 0;
};

} // namespace mustardshift::standin

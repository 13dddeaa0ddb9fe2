#pragma once

#include "adapters/platform/PlatformFailure.h"
#include "adapters/platform/RowPrecondition.h"
#include "adapters/platform/RowWrite.h"
#include "adapters/platform/TableRow.h"
#include "core/base/Instant.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class Channel;
} // namespace grpc

namespace mustardshift {

/** Client of the platform's transactional table service. Each call blocks its thread for at most
    its timeout.

    Thread safety: all methods may be called from any thread, except from gRPC callbacks. */
class TableClient
{
public:
  /** @param aAddress    "IP:port" of the platform.
      @param aUserAgent  identifies the calling process to the platform; may be empty. */
  explicit TableClient(const std::string& aAddress, const std::string& aUserAgent = {});

  /** Applies all writes when every precondition holds, else none.

      Errors: NotReached and Rejected (not run), Conflict (not run; with the present rows),
      AnswerLost (may have run; read the rows back by operation id). */
  PlatformResult<void> Commit(const std::vector<RowPrecondition>& aPreconditions,
                              const std::vector<RowWrite>& aWrites,
                              Duration aTimeout);

  /** Reads rows in one step. Rows that do not exist are left out. */
  PlatformResult<std::vector<TableRow>> Read(const std::vector<std::string>& aKeys,
                                             Duration aTimeout);

  /** Returns the rows whose keys start with the prefix, in key order.

      @param aLimit  largest number of rows; zero for no limit. */
  PlatformResult<std::vector<TableRow>> Scan(const std::string& aPrefix,
                                             std::uint32_t aLimit,
                                             Duration aTimeout);

private:
  std::shared_ptr<grpc::Channel> channel;
};

} // namespace mustardshift

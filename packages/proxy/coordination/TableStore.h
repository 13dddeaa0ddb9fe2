#pragma once

#include "core/base/Instant.h"
#include "proxy/coordination/StoreFailure.h"
#include "proxy/coordination/StoredRow.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace mustardshift::proxy {

using RowsHandler = std::function<void(Instant, tl::expected<StoredRows, StoreFailure>)>;
/** Gets the version of the change. */
using ChangeHandler = std::function<void(Instant, tl::expected<std::uint64_t, StoreFailure>)>;

/** The platform's table store. Calls may overlap; each handler is called exactly once, never from
    within the call. */
template<class Store>
concept TableStore = requires(Store aStore,
                              const std::string& aTable,
                              std::uint64_t aAfter,
                              Duration aWait,
                              const RowChange& aChange,
                              RowsHandler aRows,
                              ChangeHandler aDone)
{
  aStore.Read(aTable, aRows);
  aStore.Watch(aTable, aAfter, aWait, aRows);
  aStore.Write(aChange, aDone);
};

} // namespace mustardshift::proxy

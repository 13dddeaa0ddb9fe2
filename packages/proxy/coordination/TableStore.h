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
/** Receives the version of the store at which the change was applied. */
using ChangeHandler = std::function<void(Instant, tl::expected<std::uint64_t, StoreFailure>)>;

/** The platform's table store. Calls may overlap. Each handler is called exactly once, and never
    before the call that it was passed to has returned. */
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

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
using ChangeHandler = std::function<void(Instant, tl::expected<StoreVersion, StoreFailure>)>;

/** The platform's table store. Calls may overlap. Each handler is called exactly once, and never
    before the call that it was passed to has returned. */
template<class Store>
concept TableStore = requires(Store aStore,
                              const std::string& aTable,
                              StoreVersion aAfter,
                              Duration aWait,
                              const RowChange& aChange,
                              RowsHandler aRows,
                              ChangeHandler aDone)
{
  aStore.Read(aTable, aRows);
  aStore.Watch(aTable, aAfter, aWait, aRows);
  aStore.Write(aChange, aDone);
};

/** Receives the era that an answer states, or the text of a header that can't be read. */
using EraHandler = std::function<void(Instant, tl::expected<std::uint64_t, std::string>)>;

/** A TableStore that reports the era of each answer, of refusals as well, before it passes the
    answer to its handler. An answer without an era is reported as era 0. */
template<class Store>
concept EraReportingStore = TableStore<Store> && requires(Store aStore, EraHandler aHandler)
{
  aStore.SetEraHandler(aHandler);
};

} // namespace mustardshift::proxy

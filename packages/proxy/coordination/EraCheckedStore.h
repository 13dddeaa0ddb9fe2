#pragma once

#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/schedule/Scheduler.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

/** A TableStore whose answers all belong to the latest era that the store has reported. An answer
    of an earlier era, and one that mixes versions of two eras, is replaced by
    StoreFailure::EraChanged: what it shows or has written can be gone. Satisfies TableStore.

    Thread safety: none; one thread owns the object. */
template<EraReportingStore Store>
class EraCheckedStore
{
public:
  /** Called when the store has reported a later era than before, with the new one. */
  using RiseHandler = std::function<void(Instant, std::uint64_t)>;

  /** Precondition: all references outlive the object. */
  EraCheckedStore(Store& aStore, Scheduler& aScheduler, EventLog& aLog)
    : store(aStore)
    , scheduler(aScheduler)
    , log(aLog)
  {
    this->store.SetEraHandler(
      [this](Instant aNow, const tl::expected<std::uint64_t, std::string>& aEra) {
        this->OnEra(aNow, aEra);
      });
  }
  EraCheckedStore(const EraCheckedStore&) = delete;
  EraCheckedStore& operator=(const EraCheckedStore&) = delete;
  ~EraCheckedStore() { this->store.SetEraHandler({}); }

  /** Adds a handler, which is called before the answer that shows the rise is handled. */
  void AddRiseHandler(RiseHandler aHandler) { this->riseHandlers.push_back(std::move(aHandler)); }

  /** Latest era that the store has reported; 0 before the first answer. */
  std::uint64_t Era() const { return this->era.value_or(0); }

  /** See TableStore. */
  void Read(const std::string& aTable, RowsHandler aHandler)
  {
    this->store.Read(aTable, [this, handler = std::move(aHandler)](Instant aNow, auto aRows) {
      handler(aNow, this->CheckRows(std::move(aRows), std::nullopt));
    });
  }

  /** See TableStore. */
  void Watch(const std::string& aTable, StoreVersion aAfter, Duration aWait, RowsHandler aHandler)
  {
    if (aAfter.era != this->Era()) {
      this->FailLater<tl::expected<StoredRows, StoreFailure>>(std::move(aHandler));
      return;
    }
    this->store.Watch(aTable,
                      aAfter,
                      aWait,
                      [this, aAfter, handler = std::move(aHandler)](Instant aNow, auto aRows) {
                        handler(aNow, this->CheckRows(std::move(aRows), aAfter.era));
                      });
  }

  /** See TableStore. */
  void Write(const RowChange& aChange, ChangeHandler aHandler)
  {
    // That a row does not exist can be expected in any era.
    std::optional<std::uint64_t> expectedEra;
    if (aChange.expectedVersion && aChange.expectedVersion->number != 0) {
      expectedEra = aChange.expectedVersion->era;
    }
    if (expectedEra && *expectedEra != this->Era()) {
      this->FailLater<tl::expected<StoreVersion, StoreFailure>>(std::move(aHandler));
      return;
    }
    this->store.Write(
      aChange, [this, expectedEra, handler = std::move(aHandler)](Instant aNow, auto aVersion) {
        if (aVersion && !this->IsCurrent(aVersion->era, expectedEra)) {
          handler(aNow, tl::unexpected(StoreFailure::EraChanged));
          return;
        }
        handler(aNow, std::move(aVersion));
      });
  }

private:
  void OnEra(Instant aNow, const tl::expected<std::uint64_t, std::string>& aEra)
  {
    if (!aEra) {
      this->log.Write(aNow, "store", "era-unreadable", { { "header", aEra.error() } });
      return;
    }
    if (!this->era) {
      this->era = *aEra;
      return;
    }
    if (*aEra < *this->era) {
      this->log.Write(
        aNow,
        "store",
        "era-outdated",
        { { "era", std::to_string(*aEra) }, { "latest", std::to_string(*this->era) } });
    }
    if (*aEra <= *this->era) {
      return;
    }
    const std::uint64_t previous = std::exchange(*this->era, *aEra);
    this->log.WriteAlways(
      aNow,
      "store",
      "era-changed",
      { { "era", std::to_string(*aEra) }, { "previous", std::to_string(previous) } });
    for (const RiseHandler& handler : this->riseHandlers) {
      handler(aNow, *aEra);
    }
  }

  bool IsCurrent(std::uint64_t aEra, std::optional<std::uint64_t> aExpectedEra) const
  {
    return aEra == this->Era() && aEra == aExpectedEra.value_or(aEra);
  }

  tl::expected<StoredRows, StoreFailure> CheckRows(tl::expected<StoredRows, StoreFailure> aRows,
                                                   std::optional<std::uint64_t> aExpectedEra) const
  {
    if (aRows && !this->IsCurrent(aRows->version.era, aExpectedEra)) {
      return tl::unexpected(StoreFailure::EraChanged);
    }
    return aRows;
  }

  template<class Result, class Handler>
  void FailLater(Handler aHandler)
  {
    this->scheduler.Schedule(Instant{}, [handler = std::move(aHandler)](Instant aNow) {
      handler(aNow, Result(tl::unexpected(StoreFailure::EraChanged)));
    });
  }

  Store& store;
  Scheduler& scheduler;
  EventLog& log;
  /** Nothing before the first answer. */
  std::optional<std::uint64_t> era;
  std::vector<RiseHandler> riseHandlers;
};

} // namespace mustardshift::proxy

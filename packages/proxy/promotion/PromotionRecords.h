#pragma once

#include "core/base/Instant.h"
#include "core/base/NameTable.h"
#include "core/base/Names.h"
#include "proxy/coordination/TableStore.h"
#include "proxy/log/EventLog.h"
#include "proxy/promotion/PromotionRecord.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** The promotion records of all groups, as the holder of the promotion lease knows them. Read once
    when the lease is taken over; each write is conditional on the row's version, so that a previous
    holder that has not noticed its end can't overwrite the record of the present one.

    Thread safety: none; one thread owns the object. */
template<TableStore Store>
class PromotionRecords
{
public:
  static constexpr std::string_view kTable = "promotions";

  /** All references have to outlive the object. */
  PromotionRecords(Store& aStore, EventLog& aLog)
    : store(aStore)
    , log(aLog)
  {
  }
  PromotionRecords(const PromotionRecords&) = delete;
  PromotionRecords& operator=(const PromotionRecords&) = delete;
  ~PromotionRecords() = default;

  /** Whether the records are those of the store. */
  bool IsLoaded() const { return this->isLoaded; }

  /** Reads the records, unless a read is in progress.
      @param aHandler  called once the records are loaded; not called if the read fails. */
  void Load(std::function<void(Instant)> aHandler)
  {
    if (std::exchange(this->isLoading, true)) {
      return;
    }
    this->store.Read(std::string(kTable),
                     [this, generation = this->generation, handler = std::move(aHandler)](
                       Instant aNow, const tl::expected<StoredRows, StoreFailure>& aRows) {
                       this->isLoading = false;
                       if (!aRows || generation != this->generation) {
                         return;
                       }
                       this->Apply(aNow, *aRows);
                       handler(aNow);
                     });
  }

  /** Drops the records, because another VM may change them from now on. */
  void Unload()
  {
    this->Drop();
    this->lostRecords.clear();
  }

  /** Handles that the store has returned from an older copy: the records are loaded again, and
      those that this VM wrote as the holder of the lease are stored again before they are used.
      @param aIsHolder  whether this VM holds the promotion lease. Thread safety: as for the object.
   */
  void OnEraRise(bool aIsHolder)
  {
    if (!aIsHolder) {
      this->Unload();
      return;
    }
    if (this->isLoaded) {
      for (const auto& [group, entry] : this->entries) {
        this->lostRecords[group] = entry.record;
      }
    }
    this->Drop();
  }

  /** The record of a group that has to be stored again, because the store's row is an older one;
      nothing if there is none. Precondition: IsLoaded(). Thread safety: as for the object. */
  std::optional<PromotionRecord> LostRecord(const DatabaseName& aGroup) const
  {
    const auto lost = this->lostRecords.find(aGroup);
    return lost == this->lostRecords.end() || lost->second == this->Of(aGroup)
             ? std::nullopt
             : std::optional(lost->second);
  }

  /** Record of a group; the default one if none is stored. */
  const PromotionRecord& Of(const DatabaseName& aGroup) const
  {
    static const PromotionRecord kNoRecord;
    const auto entry = this->entries.find(aGroup);
    return entry == this->entries.end() ? kNoRecord : entry->second.record;
  }

  /** Whether the stored record of a group was written before the latest era, so that later versions
      of it may be gone. Precondition: IsLoaded(). Thread safety: as for the object. */
  bool IsOutdated(const DatabaseName& aGroup) const { return this->Of(aGroup).era != this->era; }

  /** Stores the record of a group. After a failed write the records have to be loaded again.
      Precondition: IsLoaded().
      @param aHandler  receives whether the record is stored. */
  void Write(const DatabaseName& aGroup,
             PromotionRecord aRecord,
             std::function<void(Instant, bool)> aHandler)
  {
    aRecord.era = this->era;
    RowChange change{ std::string(kTable),
                      aGroup.Text(),
                      EncodePromotionRecord(aRecord),
                      this->entries[aGroup].version };
    this->store.Write(
      change,
      [this,
       aGroup,
       record = std::move(aRecord),
       generation = this->generation,
       handler = std::move(aHandler)](Instant aNow,
                                      const tl::expected<StoreVersion, StoreFailure>& aVersion) {
        this->log.WriteAlways(
          aNow,
          "promotion",
          "record-written",
          { { "group", aGroup.Text() },
            { "order", record.isOrderOpen ? "open" : "none" },
            { "primary", record.primary.Text() },
            { "outcome",
              aVersion ? std::string("written")
                       : std::string(NameOf(kStoreFailureNames, aVersion.error())) } });
        const bool isCurrent = generation == this->generation;
        if (isCurrent && aVersion) {
          this->entries[aGroup] = Entry{ record, *aVersion };
          this->lostRecords.erase(aGroup);
        } else if (isCurrent) {
          this->Drop();
        }
        handler(aNow, isCurrent && aVersion);
      });
  }

  /** Removes one record for which the predicate holds, unless a removal is in progress.
      Precondition: IsLoaded(). Thread safety: as for the object. */
  void RemoveOne(const std::function<bool(const DatabaseName&)>& aIsUnused)
  {
    const auto unused =
      std::find_if(this->entries.begin(), this->entries.end(), [&](const auto& aEntry) {
        return aEntry.second.version.number != 0 && aIsUnused(aEntry.first);
      });
    if (unused == this->entries.end() || std::exchange(this->isRemoving, true)) {
      return;
    }
    this->store.Write(
      RowChange{ std::string(kTable), unused->first.Text(), std::nullopt, unused->second.version },
      [this, group = unused->first, generation = this->generation](Instant, const auto& aVersion) {
        this->isRemoving = false;
        if (generation == this->generation && aVersion) {
          this->entries.erase(group);
        } else if (generation == this->generation) {
          this->Drop();
        }
      });
  }

private:
  struct Entry
  {
    PromotionRecord record;
    /** Version of the row; number 0 if there is none. */
    StoreVersion version;
  };

  void Drop()
  {
    ++this->generation;
    this->isLoaded = false;
    this->entries.clear();
  }

  void Apply(Instant aNow, const StoredRows& aRows)
  {
    this->entries.clear();
    this->era = aRows.version.era;
    for (const StoredRow& row : aRows.rows) {
      auto record = DecodePromotionRecord(row.value);
      if (!record) {
        this->log.WriteAlways(aNow, "promotion", "malformed-record", { { "group", row.key } });
      }
      this->entries[DatabaseName(row.key)] =
        Entry{ record.value_or(PromotionRecord()), row.version };
    }
    this->isLoaded = true;
  }

  Store& store;
  EventLog& log;
  std::map<DatabaseName, Entry> entries;
  /** Era of the latest read of the records. */
  std::uint64_t era = 0;
  /** Records of this VM that the store may have lost. */
  std::map<DatabaseName, PromotionRecord> lostRecords;
  bool isLoaded = false;
  bool isLoading = false;
  bool isRemoving = false;
  /** Increased when the records are dropped; answers to earlier calls are then ignored. */
  std::uint64_t generation = 0;
};

} // namespace mustardshift::proxy

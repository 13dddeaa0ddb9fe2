#pragma once

#include "core/base/Assert.h"
#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardshift {

/** Bounded queue that serves organisations by deficit round robin: while several organisations
    have items waiting, each gets turns in proportion to its weight, whatever the others push. An
    organisation without waiting items collects no credit. Items of one organisation stay in order.

    An organisation that has not been served in the current round takes its first turn ahead of the
    others, so that a rare request doesn't wait behind the turns of organisations that always have
    items waiting. Its later turns come in order, so that it gets no more than its weight.

    Thread safety: none; one thread owns the queue. */
template<class Item>
class FairQueue
{
public:
  /** Preconditions: both limits > 0.

      @param aLimitPerOrganisation  most items of one organisation.
      @param aLimit                 most items of all organisations together; items whose deadline
                                    passed count until TakeExpired() returned them. */
  FairQueue(std::size_t aLimitPerOrganisation, std::size_t aLimit)
    : limitPerOrganisation(aLimitPerOrganisation)
    , limit(aLimit)
  {
    MUSTARDSHIFT_ASSERT(aLimitPerOrganisation > 0 && aLimit > 0);
  }

  // Iterators into the queue's own lists make a copy wrong.
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;
  FairQueue(FairQueue&&) noexcept = default;
  FairQueue& operator=(FairQueue&&) noexcept = default;
  ~FairQueue() = default;

  /** Sets an organisation's weight; 1 unless set, and zero counts as 1. Takes effect with the
      organisation's next turn. */
  void SetWeight(const OrganisationName& aOrganisation, unsigned aWeight)
  {
    this->weights[aOrganisation] = std::max(1U, aWeight);
  }

  /** Adds an item that is of no use from aDeadline on. When the queue is full, for the
      organisation or in total, the item is dropped and the refusal is QueueFull, NotRun. */
  Outcome<void> Push(const OrganisationName& aOrganisation, Item aItem, Instant aDeadline)
  {
    if (this->size() >= this->limit) {
      return RefuseNotRun(Reason::QueueFull, "the queue is full");
    }
    if (this->SizeOf(aOrganisation) >= this->limitPerOrganisation) {
      return RefuseNotRun(Reason::QueueFull, "the organisation's part of the queue is full");
    }
    auto [added, isNew] = this->queues.try_emplace(aOrganisation);
    if (isNew) {
      this->newOrganisations.push_back(aOrganisation);
    }
    std::list<Entry>& entries = added->second.entries;
    entries.push_back({ std::move(aItem), {} });
    const auto entry = std::prev(entries.end());
    entry->deadline = this->deadlines.emplace(aDeadline, EntryLocation{ aOrganisation, entry });
    return {};
  }

  /** Takes the next item whose deadline is later than aNow, or nothing. */
  std::optional<Item> Pop(Instant aNow)
  {
    this->MoveExpired(aNow);
    while (true) {
      std::list<OrganisationName>& current =
        this->newOrganisations.empty() ? this->activeOrganisations : this->newOrganisations;
      if (current.empty()) {
        return std::nullopt;
      }
      const OrganisationName organisation = current.front();
      OrganisationQueue& queue = this->queues.at(organisation);
      if (queue.entries.empty()) {
        this->queues.erase(organisation);
        current.pop_front();
        continue;
      }
      if (queue.deficit == 0) {
        queue.deficit = this->WeightOf(organisation);
      }
      --queue.deficit;
      this->deadlines.erase(queue.entries.front().deadline);
      Item item = std::move(queue.entries.front().item);
      queue.entries.pop_front();
      if (queue.entries.empty()) {
        queue.deficit = 0;
      }
      if (queue.deficit == 0) {
        this->activeOrganisations.splice(this->activeOrganisations.end(), current, current.begin());
      }
      return item;
    }
  }

  /** Tells whether Pop(aNow) would return an item. */
  bool HasWaiting(Instant aNow)
  {
    this->MoveExpired(aNow);
    return !this->deadlines.empty();
  }

  /** Takes all items whose deadline is aNow or earlier; the caller refuses them with
      DeadlineExceeded, NotRun. */
  std::vector<Item> TakeExpired(Instant aNow)
  {
    this->MoveExpired(aNow);
    return std::exchange(this->expired, {});
  }

  /** Returns the earliest deadline of the waiting items, or nothing when none waits. */
  std::optional<Instant> NextDeadline() const
  {
    if (this->deadlines.empty()) {
      return std::nullopt;
    }
    return this->deadlines.begin()->first;
  }

  /** Items in the queue, including those that wait for TakeExpired(). */
  std::size_t size() const { return this->deadlines.size() + this->expired.size(); }

  /** Items of one organisation that wait for Pop(). */
  std::size_t SizeOf(const OrganisationName& aOrganisation) const
  {
    const auto queue = this->queues.find(aOrganisation);
    return queue == this->queues.end() ? 0 : queue->second.entries.size();
  }

private:
  struct Entry;
  struct EntryLocation
  {
    OrganisationName organisation;
    typename std::list<Entry>::iterator entry;
  };
  using Deadlines = std::multimap<Instant, EntryLocation>;
  struct Entry
  {
    Item item;
    typename Deadlines::iterator deadline;
  };
  struct OrganisationQueue
  {
    std::list<Entry> entries;
    /** Items that the organisation may still send in its current turn. */
    unsigned deficit = 0;
  };

  unsigned WeightOf(const OrganisationName& aOrganisation) const
  {
    const auto weight = this->weights.find(aOrganisation);
    return weight == this->weights.end() ? 1 : weight->second;
  }

  void MoveExpired(Instant aNow)
  {
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= aNow) {
      const EntryLocation location = this->deadlines.begin()->second;
      this->deadlines.erase(this->deadlines.begin());
      this->expired.push_back(std::move(location.entry->item));
      OrganisationQueue& queue = this->queues.at(location.organisation);
      queue.entries.erase(location.entry);
      if (queue.entries.empty()) {
        queue.deficit = 0;
      }
    }
  }

  std::size_t limitPerOrganisation;
  std::size_t limit;
  std::unordered_map<OrganisationName, unsigned> weights;
  std::unordered_map<OrganisationName, OrganisationQueue> queues;
  /** Organisations that wait for their first turn; they come before `activeOrganisations`. */
  std::list<OrganisationName> newOrganisations;
  /** The others in order of their turns. One that has no items left stays until its turn comes, so
      that it can't take another first turn in the same round. */
  std::list<OrganisationName> activeOrganisations;
  Deadlines deadlines;
  std::vector<Item> expired;
};

} // namespace mustardshift

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
    have items waiting, each is served in proportion to its weight, no matter how many items the
    others push. An organisation accumulates no credit while it has no items waiting. Items of one
    organisation are served in the order in which they were pushed.

    An organisation that has not been served in the current round gets its first turn before the
    others, so that an infrequent request doesn't wait for the turns of organisations that always
    have items waiting. Its further turns follow the round-robin order, so that its share does not
    exceed its weight.

    Thread safety: none; one thread owns the queue. */
template<class Item>
class FairQueue
{
public:
  /** Preconditions: both limits > 0.

      @param aLimitPerOrganisation  maximum number of waiting items of one organisation.
      @param aLimit                 maximum number of items of all organisations together; items
                                    whose deadline has passed count until TakeExpired() has
                                    returned them. */
  FairQueue(std::size_t aLimitPerOrganisation, std::size_t aLimit)
    : limitPerOrganisation(aLimitPerOrganisation)
    , limit(aLimit)
  {
    MUSTARDSHIFT_ASSERT(aLimitPerOrganisation > 0 && aLimit > 0);
  }

  // Not copyable: the queue holds iterators into its own containers.
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;
  FairQueue(FairQueue&&) noexcept = default;
  FairQueue& operator=(FairQueue&&) noexcept = default;
  ~FairQueue() = default;

  /** Sets an organisation's weight. The default is 1, and 0 is treated as 1. Takes effect with the
      organisation's next turn. */
  void SetWeight(const OrganisationName& aOrganisation, unsigned aWeight)
  {
    this->weights[aOrganisation] = std::max(1U, aWeight);
  }

  /** Adds an item that expires at aDeadline. If the limit of the organisation or the total limit is
      reached, the item is dropped, and a refusal with reason QueueFull and verdict NotRun is
      returned. */
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

  /** Removes and returns the next item whose deadline is later than aNow, or nothing if there is
      none. */
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

  /** Removes and returns all items whose deadline is aNow or earlier. The caller has to refuse them
      with reason DeadlineExceeded and verdict NotRun. */
  std::vector<Item> TakeExpired(Instant aNow)
  {
    this->MoveExpired(aNow);
    return std::exchange(this->expired, {});
  }

  /** Returns the earliest deadline of the waiting items, or nothing if no item is waiting. */
  std::optional<Instant> NextDeadline() const
  {
    if (this->deadlines.empty()) {
      return std::nullopt;
    }
    return this->deadlines.begin()->first;
  }

  /** Number of items in the queue, including expired ones not yet returned by TakeExpired(). */
  std::size_t size() const { return this->deadlines.size() + this->expired.size(); }

  /** Number of items of one organisation that wait for Pop(). */
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
    /** Number of items of the organisation that may still be served in its current turn. */
    unsigned deficit = 0;
  };

  unsigned WeightOf(const OrganisationName& aOrganisation) const
  {
    const auto weight = this->weights.find(aOrganisation);
    return weight == this->weights.end() ? 1 : weight->second;
  }

  /** Moves the items whose deadline is aNow or earlier to `expired`. */
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
  /** Organisations that wait for their first turn; served before `activeOrganisations`. */
  std::list<OrganisationName> newOrganisations;
  /** All other organisations in the order of their turns. An organisation without items stays in
      the list until its turn comes, so that it can't get another first turn in the same round. */
  std::list<OrganisationName> activeOrganisations;
  Deadlines deadlines;
  std::vector<Item> expired;
};

} // namespace mustardshift

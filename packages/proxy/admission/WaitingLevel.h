#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/admission/AdmissionTicket.h"
#include "proxy/admission/DrainRate.h"
#include "proxy/admission/WaitingItem.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace mustardshift::proxy {

/** Requests of one priority that wait, in the order in which they start: start-time fair queueing
    between organisations by the server's time, and by WaitingItem::due within one. An organisation
    gets no credit for the time in which it has nothing waiting.

    Cost: O(log n) for an item that comes last of its organisation, or starts; an item that is
    inserted or removed before others moves those of its organisation.

    Thread safety: none; one thread owns the object. */
class WaitingLevel
{
public:
  /** What decides whether an item can start in time. */
  struct Entry
  {
    Instant startBy{};
    Duration cost{ 0 };
  };
  /** Start tag and ticket; items start in this order. */
  using Order = std::map<std::pair<double, AdmissionTicket>, Entry>;

  /** Preconditions: the ticket is not in the level, and the weight is > 0. */
  void Insert(Instant aNow, const WaitingItem& aItem);

  /** Removes an item that won't start; its organisation gets its turn back. Precondition: it is
      in the level. */
  void Remove(const WaitingItem& aItem);

  /** Removes the first item because it starts. Precondition: it is the first one. */
  void TakeFirst(Instant aNow, const WaitingItem& aItem);

  /** Items in the order in which they start. */
  const Order& Entries() const { return this->order; }
  bool IsEmpty() const { return this->order.empty(); }
  std::size_t Count() const { return this->order.size(); }
  /** Sum of the costs. */
  Duration Work() const { return this->work; }
  /** Earliest startBy. Precondition: not empty. */
  Instant EarliestStartBy() const { return *this->startTimes.begin(); }

  /** Expected time until an item starts, by the rate at which work of its organisation has
      started lately; nothing if that is unknown, or if others of its organisation go later.
      Precondition: it is in the level. */
  std::optional<Duration> ExpectedWait(const WaitingItem& aItem) const;

  /** Starts of other levels since this one began to wait or had its last start. */
  unsigned StartsMissed() const { return this->startsMissed; }
  void CountMissedStart() { ++this->startsMissed; }

private:
  struct OrganisationItem
  {
    double startTag = 0;
    /** Cost divided by weight. */
    double span = 0;
    Entry entry;
  };
  struct Organisation
  {
    /** Start tag of the next item to be first. */
    double nextTag = 0;
    /** Sum of the items' costs, divided by their weights, in microseconds. */
    double work = 0;
    DrainRate rate;
    std::map<std::pair<Instant, AdmissionTicket>, OrganisationItem> items;
  };
  using Items = decltype(Organisation::items);

  void Retag(Organisation& aOrganisation, Items::iterator aFrom);
  void RemoveTotals(const Entry& aEntry);
  void ForgetIfIdle(const OrganisationName& aName);

  Order order;
  std::unordered_map<OrganisationName, Organisation> organisations;
  std::multiset<Instant> startTimes;
  Duration work{ 0 };
  /** Start tag of the latest item that started. */
  double virtualTime = 0;
  unsigned startsMissed = 0;
};

} // namespace mustardshift::proxy

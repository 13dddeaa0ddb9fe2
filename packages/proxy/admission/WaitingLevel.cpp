#include "proxy/admission/WaitingLevel.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <iterator>

namespace mustardshift::proxy {

void WaitingLevel::Insert(Instant aNow, const WaitingItem& aItem)
{
  MUSTARDSHIFT_ASSERT(aItem.weight > 0);
  if (this->order.empty()) {
    this->startsMissed = 0;
  }
  Organisation& organisation = this->organisations[aItem.organisation];
  if (organisation.items.empty()) {
    organisation.nextTag = std::max(organisation.nextTag, this->virtualTime);
    organisation.rate.BeginWaiting(aNow);
  }
  const Entry entry{ aItem.startBy, aItem.cost };
  const double span = static_cast<double>(aItem.cost.count()) / aItem.weight;
  const auto [item, isNew] = organisation.items.emplace(std::pair(aItem.due, aItem.ticket),
                                                        OrganisationItem{ -1, span, entry });
  MUSTARDSHIFT_ASSERT(isNew);
  this->startTimes.insert(aItem.startBy);
  this->work += aItem.cost;
  organisation.work += span;
  this->Retag(organisation, item);
}

void WaitingLevel::Remove(const WaitingItem& aItem)
{
  Organisation& organisation = this->organisations.at(aItem.organisation);
  const auto item = organisation.items.find({ aItem.due, aItem.ticket });
  MUSTARDSHIFT_ASSERT(item != organisation.items.end());
  this->RemoveTotals(item->second.entry);
  organisation.work -= item->second.span;
  this->order.erase({ item->second.startTag, aItem.ticket });
  this->Retag(organisation, organisation.items.erase(item));
  this->ForgetIfIdle(aItem.organisation);
}

void WaitingLevel::TakeFirst(Instant aNow, const WaitingItem& aItem)
{
  Organisation& organisation = this->organisations.at(aItem.organisation);
  const auto item = organisation.items.begin();
  MUSTARDSHIFT_ASSERT(item != organisation.items.end() && item->first.second == aItem.ticket);
  this->virtualTime = std::max(this->virtualTime, item->second.startTag);
  organisation.nextTag = item->second.startTag + item->second.span;
  organisation.work -= item->second.span;
  organisation.rate.RecordStart(aNow, item->second.span);
  this->RemoveTotals(item->second.entry);
  this->order.erase({ item->second.startTag, aItem.ticket });
  organisation.items.erase(item);
  this->startsMissed = 0;
  this->ForgetIfIdle(aItem.organisation);
}

std::optional<Duration> WaitingLevel::ExpectedWait(const WaitingItem& aItem) const
{
  const Organisation& organisation = this->organisations.at(aItem.organisation);
  const auto last = std::prev(organisation.items.end());
  if (last->first.second != aItem.ticket) {
    return std::nullopt;
  }
  return organisation.rate.TimeFor(organisation.work - last->second.span);
}

/** Assigns the start tags of an item and those behind it, until one has its tag already. */
void WaitingLevel::Retag(Organisation& aOrganisation, Items::iterator aFrom)
{
  double tag = aOrganisation.nextTag;
  if (aFrom != aOrganisation.items.begin()) {
    const OrganisationItem& previous = std::prev(aFrom)->second;
    tag = previous.startTag + previous.span;
  }
  for (auto item = aFrom; item != aOrganisation.items.end(); ++item) {
    if (item->second.startTag == tag) {
      return;
    }
    const AdmissionTicket ticket = item->first.second;
    this->order.erase({ item->second.startTag, ticket });
    item->second.startTag = tag;
    this->order.emplace(std::pair(tag, ticket), item->second.entry);
    tag += item->second.span;
  }
}

void WaitingLevel::RemoveTotals(const Entry& aEntry)
{
  this->startTimes.erase(this->startTimes.find(aEntry.startBy));
  this->work -= aEntry.cost;
}

/** Forgets organisations to which no start is charged any more. */
void WaitingLevel::ForgetIfIdle(const OrganisationName& aName)
{
  if (this->order.empty()) {
    this->organisations.clear();
    this->virtualTime = 0;
    return;
  }
  const auto organisation = this->organisations.find(aName);
  if (organisation->second.items.empty() && organisation->second.nextTag <= this->virtualTime) {
    this->organisations.erase(organisation);
  }
}

} // namespace mustardshift::proxy

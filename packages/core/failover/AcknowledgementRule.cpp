#include "core/failover/AcknowledgementRule.h"

#include "core/base/Assert.h"
#include "core/failover/Majority.h"

namespace mustardshift {

AcknowledgementRule::AcknowledgementRule(LogPosition aPosition, std::size_t aServerCount)
  : position(aPosition)
  , serverCount(aServerCount)
{
  MUSTARDSHIFT_ASSERT(aServerCount > 0);
}

bool AcknowledgementRule::Record(const ServerAddress& aServer, const ServerReport& aReport)
{
  const bool isUnderTerm = aReport.acceptedTerm == this->position.term;
  // Within one term every server's log is a prefix of the primary's log, so comparing offsets is
  // sufficient.
  const bool holdsPosition = aReport.position.term == this->position.term &&
                             aReport.position.offset >= this->position.offset;
  if (isUnderTerm && holdsPosition) {
    // Counts even if a report of a later term arrived first: this one was true when it was made.
    this->confirmed.insert(aServer);
    this->superseded.erase(aServer);
  } else if (aReport.acceptedTerm > this->position.term && !this->confirmed.contains(aServer)) {
    this->superseded.insert(aServer);
  }
  return this->IsAcknowledged();
}

bool AcknowledgementRule::IsAcknowledged() const
{
  return this->confirmed.size() >= MajorityOf(this->serverCount);
}

bool AcknowledgementRule::CanBeAcknowledged() const
{
  return this->serverCount - this->superseded.size() >= MajorityOf(this->serverCount);
}

} // namespace mustardshift

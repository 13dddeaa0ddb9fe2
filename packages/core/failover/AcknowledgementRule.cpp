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
  // Within one term all logs are prefixes of the primary's, so the offsets compare.
  const bool holdsPosition = aReport.position.term == this->position.term &&
                             aReport.position.offset >= this->position.offset;
  if (isUnderTerm && holdsPosition) {
    // Also when this report was overtaken by one of a later term: it was true when it was made.
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

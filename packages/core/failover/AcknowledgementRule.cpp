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
  const bool isTermAccepted = aReport.acceptedTerm == this->position.term;
  // Within one term every server's log is a prefix of the primary's log, so comparing offsets is
  // sufficient.
  const bool holdsPosition = aReport.position.term == this->position.term &&
                             aReport.position.offset >= this->position.offset;
  if (isTermAccepted && holdsPosition) {
    // The report counts even if a report of a later term arrived before it, because the server held
    // the position in the position's term when it made this report.
    this->confirmingServers.insert(aServer);
    this->supersededServers.erase(aServer);
  } else if (aReport.acceptedTerm > this->position.term &&
             !this->confirmingServers.contains(aServer)) {
    this->supersededServers.insert(aServer);
  }
  return this->IsAcknowledged();
}

bool AcknowledgementRule::IsAcknowledged() const
{
  return this->confirmingServers.size() >= MajorityOf(this->serverCount);
}

bool AcknowledgementRule::CanBeAcknowledged() const
{
  return this->serverCount - this->supersededServers.size() >= MajorityOf(this->serverCount);
}

} // namespace mustardshift

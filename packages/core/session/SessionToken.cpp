#include "core/session/SessionToken.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

template<class Databases>
auto Find(Databases& aDatabases, const DatabaseName& aDatabase)
{
  return std::find_if(
    aDatabases.begin(), aDatabases.end(), [&](const ObservedPositions& aObserved) {
      return aObserved.database == aDatabase;
    });
}

} // namespace

SessionToken::SessionToken(OrganisationName aOrganisation)
  : organisation(std::move(aOrganisation))
{
}

SessionToken::SessionToken(OrganisationName aOrganisation,
                           std::vector<ObservedPositions> aDatabases,
                           bool aHasDroppedDatabases)
  : organisation(std::move(aOrganisation))
  , databases(std::move(aDatabases))
  , hasDroppedDatabases(aHasDroppedDatabases)
{
  MUSTARDSHIFT_ASSERT(this->databases.size() <= kMaxDatabases);
}

LogPosition SessionToken::MinimumPositionFor(const DatabaseName& aDatabase) const
{
  const auto found = Find(this->databases, aDatabase);
  return found == this->databases.end() ? LogPosition{} : std::max(found->write, found->read);
}

bool SessionToken::MustReadAtPrimary(const DatabaseName& aDatabase) const
{
  return this->hasDroppedDatabases && Find(this->databases, aDatabase) == this->databases.end();
}

void SessionToken::ObserveWrite(const DatabaseName& aDatabase, LogPosition aPosition)
{
  ObservedPositions& observed = this->MoveToFront(aDatabase);
  observed.write = std::max(observed.write, aPosition);
}

void SessionToken::ObserveRead(const DatabaseName& aDatabase, LogPosition aPosition)
{
  ObservedPositions& observed = this->MoveToFront(aDatabase);
  observed.read = std::max(observed.read, aPosition);
}

bool SessionToken::DropLeastRecentlyObserved()
{
  if (this->databases.empty()) {
    return false;
  }
  this->databases.pop_back();
  this->hasDroppedDatabases = true;
  return true;
}

ObservedPositions& SessionToken::MoveToFront(const DatabaseName& aDatabase)
{
  auto found = Find(this->databases, aDatabase);
  if (found == this->databases.end()) {
    if (this->databases.size() == kMaxDatabases) {
      this->DropLeastRecentlyObserved();
    }
    this->databases.push_back(ObservedPositions{ aDatabase, {}, {} });
    found = std::prev(this->databases.end());
  }
  std::rotate(this->databases.begin(), found, std::next(found));
  return this->databases.front();
}

} // namespace mustardshift

#include "core/session/SessionToken.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <utility>

namespace mustardshift {

namespace {

template<class Databases>
auto Find(Databases& aDatabases, const DatabaseName& aDatabase)
{
  return std::find_if(aDatabases.begin(), aDatabases.end(), [&](const SeenPositions& aSeen) {
    return aSeen.database == aDatabase;
  });
}

} // namespace

SessionToken::SessionToken(OrganisationName aOrganisation)
  : organisation(std::move(aOrganisation))
{
}

SessionToken::SessionToken(OrganisationName aOrganisation,
                           std::vector<SeenPositions> aDatabases,
                           bool aHasDropped)
  : organisation(std::move(aOrganisation))
  , databases(std::move(aDatabases))
  , hasDropped(aHasDropped)
{
  MUSTARDSHIFT_ASSERT(this->databases.size() <= kMaximumDatabases);
}

LogPosition SessionToken::FloorFor(const DatabaseName& aDatabase) const
{
  const auto found = Find(this->databases, aDatabase);
  return found == this->databases.end() ? LogPosition{} : std::max(found->write, found->read);
}

bool SessionToken::MustReadAtPrimary(const DatabaseName& aDatabase) const
{
  return this->hasDropped && Find(this->databases, aDatabase) == this->databases.end();
}

void SessionToken::ObserveWrite(const DatabaseName& aDatabase, LogPosition aPosition)
{
  SeenPositions& seen = this->MoveToFront(aDatabase);
  seen.write = std::max(seen.write, aPosition);
}

void SessionToken::ObserveRead(const DatabaseName& aDatabase, LogPosition aPosition)
{
  SeenPositions& seen = this->MoveToFront(aDatabase);
  seen.read = std::max(seen.read, aPosition);
}

bool SessionToken::DropLeastRecent()
{
  if (this->databases.empty()) {
    return false;
  }
  this->databases.pop_back();
  this->hasDropped = true;
  return true;
}

SeenPositions& SessionToken::MoveToFront(const DatabaseName& aDatabase)
{
  auto found = Find(this->databases, aDatabase);
  if (found == this->databases.end()) {
    if (this->databases.size() == kMaximumDatabases) {
      this->DropLeastRecent();
    }
    this->databases.push_back(SeenPositions{ aDatabase, {}, {} });
    found = std::prev(this->databases.end());
  }
  std::rotate(this->databases.begin(), found, std::next(found));
  return this->databases.front();
}

} // namespace mustardshift

#pragma once

#include "core/base/Names.h"
#include "core/session/LogPosition.h"

#include <cstddef>
#include <vector>

namespace mustardshift {

/** The log positions of one database that a session has observed. */
struct ObservedPositions
{
  DatabaseName database;
  /** Position of the last write that was acknowledged to the session. */
  LogPosition write;
  /** Position of the most recent data that a read returned to the session. */
  LogPosition read;

  friend bool operator==(const ObservedPositions&, const ObservedPositions&) = default;
};

/** The log positions that a session has observed. Later reads of the session must not return older
    data.

    The token lists at most kMaxDatabases databases. When another one is observed, the least
    recently observed database is dropped, and from then on every database that the token doesn't
    list has to be read at its primary (MustReadAtPrimary). The current primary has every
    acknowledged write and everything that a read has returned, so the session needs no position
    for it.

    Thread safety: a value type; const methods may be called concurrently. */
class SessionToken
{
public:
  /** Limits the size of a token: 16 databases with names of 64 bytes fit into 2048 bytes. */
  static constexpr std::size_t kMaxDatabases = 16;

  SessionToken() = default;
  /** Creates the token of a session that has observed nothing. An empty name means a session on
      public routes. */
  explicit SessionToken(OrganisationName aOrganisation);
  /** Restores the token of a session.

      @param aDatabases  observed databases, the most recently observed first.
      @param aHasDroppedDatabases  whether a database has been dropped from the token.

      Precondition: at most kMaxDatabases databases, each listed once. */
  SessionToken(OrganisationName aOrganisation,
               std::vector<ObservedPositions> aDatabases,
               bool aHasDroppedDatabases);

  const OrganisationName& Organisation() const { return this->organisation; }

  /** Returns the lowest position that a server's log has to reach before the server may serve a
      read of this session from a database. It is the larger of the positions of the last
      write and the last read, and {0, 0} when the session has observed nothing. */
  LogPosition MinimumPositionFor(const DatabaseName& aDatabase) const;

  /** Returns whether reads of the database have to go to the primary, because its observed
      positions may have been dropped from the token. */
  bool MustReadAtPrimary(const DatabaseName& aDatabase) const;

  /** Records the position of an acknowledged write. A lower position than recorded is ignored. */
  void ObserveWrite(const DatabaseName& aDatabase, LogPosition aPosition);

  /** Records the position of the server that served a read. A lower position than recorded is
      ignored.
      Precondition: the server held MinimumPositionFor(aDatabase), and it was the primary if
      MustReadAtPrimary(aDatabase). */
  void ObserveRead(const DatabaseName& aDatabase, LogPosition aPosition);

  /** Drops the least recently observed database. Returns false when the token lists no database. */
  bool DropLeastRecentlyObserved();

  /** Returns the databases, the most recently observed first. */
  const std::vector<ObservedPositions>& Databases() const { return this->databases; }

  bool HasDroppedDatabases() const { return this->hasDroppedDatabases; }

  friend bool operator==(const SessionToken&, const SessionToken&) = default;

private:
  ObservedPositions& MoveToFront(const DatabaseName& aDatabase);

  OrganisationName organisation;
  std::vector<ObservedPositions> databases;
  bool hasDroppedDatabases = false;
};

} // namespace mustardshift

#pragma once

#include "core/base/Names.h"
#include "core/session/LogPosition.h"

#include <cstddef>
#include <vector>

namespace mustardshift {

/** What a session has observed of one database. */
struct ObservedPositions
{
  DatabaseName database;
  /** Position of the last write that was acknowledged to the session. */
  LogPosition write;
  /** Position of the newest data that a read returned to the session. */
  LogPosition read;

  friend bool operator==(const ObservedPositions&, const ObservedPositions&) = default;
};

/** What a session has observed, which later reads of the session must not fall behind.

    The token lists at most kMaximumDatabases databases. Beyond that the least recently observed one
    is dropped, and from then on every database that the token doesn't list has to be read at its
    primary (MustReadAtPrimary): the present primary has every acknowledged write and everything
    that a read has returned, so nothing has to be remembered about it.

    Thread safety: a value type; const methods may be called concurrently. */
class SessionToken
{
public:
  /** Bounds the size of a token: 16 databases with names of 64 bytes fit into 2048 bytes. */
  static constexpr std::size_t kMaximumDatabases = 16;

  SessionToken() = default;
  /** Starts a session that has observed nothing. An empty name stands for a session on public
   * routes.
   */
  explicit SessionToken(OrganisationName aOrganisation);
  /** Restores a session.

      @param aDatabases  most recently observed first.
      @param aHasDroppedDatabases  whether a database was dropped before.

      Precondition: at most kMaximumDatabases databases, each named once. */
  SessionToken(OrganisationName aOrganisation,
               std::vector<ObservedPositions> aDatabases,
               bool aHasDroppedDatabases);

  const OrganisationName& Organisation() const { return this->organisation; }

  /** Position that a server has to hold before it may serve a read of this session; the larger of
      the last write and the last read. {0, 0} when the session has observed nothing. */
  LogPosition FloorFor(const DatabaseName& aDatabase) const;

  /** Whether reads of the database have to go to the primary, because the token may have dropped
      what the session saw of it. */
  bool MustReadAtPrimary(const DatabaseName& aDatabase) const;

  /** Notes an acknowledged write. Never lowers what was observed. */
  void ObserveWrite(const DatabaseName& aDatabase, LogPosition aPosition);

  /** Notes the position of the server that served a read. Never lowers what was observed.
      Precondition: the server held FloorFor(aDatabase), and was the primary if
      MustReadAtPrimary(aDatabase). */
  void ObserveRead(const DatabaseName& aDatabase, LogPosition aPosition);

  /** Drops the least recently observed database. Returns false when none is left. */
  bool DropLeastRecentlyObserved();

  /** Databases, most recently observed first. */
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

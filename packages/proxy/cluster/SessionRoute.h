#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Which commits a read has to include. */
enum class ReadConsistency
{
  /** All commits that were acknowledged before the read. */
  Primary,
  /** All commits that were acknowledged more than SessionRoute::maxStaleness before the read. */
  Bounded,
  /** As Bounded, and in addition all earlier commits of the same session. */
  Session,
};

inline constexpr std::array<std::pair<ReadConsistency, std::string_view>, 3> kReadConsistencyNames{
  {
    { ReadConsistency::Primary, "primary" },
    { ReadConsistency::Bounded, "bounded" },
    { ReadConsistency::Session, "session" },
  }
};

/** How the statements of sessions with one database name are run. */
struct SessionRoute
{
  /** The group whose servers run the statements. */
  DatabaseName group;
  ReadConsistency consistency = ReadConsistency::Primary;
  /** Greatest staleness of the data that a read returns; not used for ReadConsistency::Primary. */
  Duration maxStaleness{ 0 };
  /** Time limit of one statement. */
  Duration statementTimeout{ 0 };
  /** Priority of a statement that waits for a connection; 0 is the highest. */
  unsigned priority = 0;
  /** Clients don't need a key. */
  bool isPublic = false;

  friend bool operator==(const SessionRoute&, const SessionRoute&) = default;
};

} // namespace mustardshift::proxy

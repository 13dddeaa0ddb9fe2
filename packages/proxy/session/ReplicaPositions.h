#pragma once

#include "core/base/Instant.h"
#include "core/session/LogPosition.h"
#include "proxy/cluster/ServerRecord.h"

#include <map>

namespace mustardshift::proxy {

/** Log positions that servers returned with their answers. Used to skip replicas whose recently
    reported position is before the one that a read requires.

    Thread safety: none; one thread owns the object. */
class ReplicaPositions
{
public:
  /** A position counts as current for this long: about the lag of a healthy replica. */
  static constexpr Duration kMaxEntryAge = std::chrono::milliseconds(30);

  void Record(const ServerId& aId, LogPosition aPosition, Instant aNow)
  {
    this->entries[aId] = { aPosition, aNow };
  }

  void Forget(const ServerId& aId) { this->entries.erase(aId); }

  /** Whether a position that was recorded for the server is still current and lies before
      aPosition. */
  bool IsBehind(const ServerId& aId, LogPosition aPosition, Instant aNow) const
  {
    const auto found = this->entries.find(aId);
    return found != this->entries.end() && aNow - found->second.recordedAt < kMaxEntryAge &&
           found->second.position < aPosition;
  }

private:
  struct Entry
  {
    LogPosition position;
    Instant recordedAt{};
  };

  std::map<ServerId, Entry> entries;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ServerRecord.h"

#include <map>

namespace mustardshift::proxy {

/** Tracks when each database server last replied to this VM, and since when its connections and
    commands have been failing.

    Thread safety: none; one thread owns the object. */
class ServerHealth
{
public:
  /** A server is considered unreachable after this long without a reply and at least kMinFailures
      failed attempts. Longer than a slow statement, so that a loaded server is not considered
      unreachable. */
  static constexpr Duration kUnreachableAfter = std::chrono::milliseconds(400);
  static constexpr unsigned kMinFailures = 2;

  /** Records that the server replied, whatever the reply. */
  void RecordReply(const ServerId& aId, Instant aNow);
  /** Records that a connection could not be opened or was lost, or that a command got no reply in
      time.
      @param aAttemptStartedAt  start of the failed attempt. A failure is ignored if the server has
        replied since. */
  void RecordAttemptFailure(const ServerId& aId, Instant aAttemptStartedAt);
  void Forget(const ServerId& aId);

  /** Returns whether the server replied at or after an instant. */
  bool HasRepliedSince(const ServerId& aId, Instant aSince) const;
  bool IsUnreachable(const ServerId& aId, Instant aNow) const;

private:
  struct Entry
  {
    Instant lastReply{};
    Instant firstFailure{};
    unsigned failures = 0;
  };

  std::map<ServerId, Entry> entries;
};

} // namespace mustardshift::proxy

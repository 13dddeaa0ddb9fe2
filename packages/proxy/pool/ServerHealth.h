#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ServerRecord.h"

#include <map>

namespace mustardshift::proxy {

/** When each database server last answered this VM, and since when it has not.

    Thread safety: none; one thread owns the object. */
class ServerHealth
{
public:
  /** A server counts as unreachable after this long without an answer, and
      kMinFailures failed attempts. Longer than a slow statement, to keep a loaded server. */
  static constexpr Duration kUnreachableAfter = std::chrono::milliseconds(400);
  static constexpr unsigned kMinFailures = 2;

  /** Notes that the server answered something, whatever it said. */
  void RecordReply(const ServerId& aId, Instant aNow);
  /** Notes that a connection could not be opened, broke, or gave no answer in time.
      @param aAttemptStartedAt  instant of the attempt. */
  void RecordAttemptFailure(const ServerId& aId, Instant aAttemptStartedAt);
  void Forget(const ServerId& aId);

  /** Whether the server answered at or after an instant. */
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

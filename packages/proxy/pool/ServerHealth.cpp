#include "proxy/pool/ServerHealth.h"

#include <algorithm>

namespace mustardshift::proxy {

void ServerHealth::RecordReply(const ServerId& aId, Instant aNow)
{
  Entry& entry = this->entries[aId];
  entry.lastReply = std::max(entry.lastReply, aNow);
  entry.failures = 0;
}

void ServerHealth::RecordAttemptFailure(const ServerId& aId, Instant aAttemptStartedAt)
{
  Entry& entry = this->entries[aId];
  if (aAttemptStartedAt <= entry.lastReply) {
    return;
  }
  entry.firstFailure =
    entry.failures == 0 ? aAttemptStartedAt : std::min(entry.firstFailure, aAttemptStartedAt);
  ++entry.failures;
}

void ServerHealth::Forget(const ServerId& aId)
{
  this->entries.erase(aId);
}

bool ServerHealth::HasRepliedSince(const ServerId& aId, Instant aSince) const
{
  const auto entry = this->entries.find(aId);
  return entry != this->entries.end() && entry->second.lastReply >= aSince;
}

bool ServerHealth::IsUnreachable(const ServerId& aId, Instant aNow) const
{
  const auto entry = this->entries.find(aId);
  return entry != this->entries.end() && entry->second.failures >= kMinFailures &&
         aNow - entry->second.firstFailure >= kUnreachableAfter;
}

} // namespace mustardshift::proxy

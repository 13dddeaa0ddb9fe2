#include "proxy/pool/ServerHealth.h"

#include <algorithm>

namespace mustardshift::proxy {

void ServerHealth::NoteAnswer(const ServerId& aId, Instant aNow)
{
  Entry& entry = this->entries[aId];
  entry.lastAnswer = std::max(entry.lastAnswer, aNow);
  entry.failures = 0;
}

void ServerHealth::NoteFailure(const ServerId& aId, Instant aSince)
{
  Entry& entry = this->entries[aId];
  if (aSince <= entry.lastAnswer) {
    return;
  }
  entry.firstFailure = entry.failures == 0 ? aSince : std::min(entry.firstFailure, aSince);
  ++entry.failures;
}

void ServerHealth::Forget(const ServerId& aId)
{
  this->entries.erase(aId);
}

bool ServerHealth::HasAnsweredSince(const ServerId& aId, Instant aSince) const
{
  const auto entry = this->entries.find(aId);
  return entry != this->entries.end() && entry->second.lastAnswer >= aSince;
}

bool ServerHealth::IsUnreachable(const ServerId& aId, Instant aNow) const
{
  const auto entry = this->entries.find(aId);
  return entry != this->entries.end() && entry->second.failures >= kLeastFailures &&
         aNow - entry->second.firstFailure >= kUnreachableAfter;
}

} // namespace mustardshift::proxy

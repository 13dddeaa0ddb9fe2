#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ServerRecord.h"

#include <map>

namespace mustardshift::proxy {

/** Replicas that lately lacked a position that a read needed.

    Thread safety: none; one thread owns the object. */
class LaggingReplicas
{
public:
  /** Leaves the replica out until aUntil. */
  void Add(const ServerId& aId, Instant aUntil) { this->until[aId] = aUntil; }
  bool Contains(const ServerId& aId, Instant aNow) const
  {
    const auto found = this->until.find(aId);
    return found != this->until.end() && aNow < found->second;
  }

private:
  std::map<ServerId, Instant> until;
};

} // namespace mustardshift::proxy

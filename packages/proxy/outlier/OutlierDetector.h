#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/outlier/Ejection.h"
#include "proxy/outlier/OutlierOptions.h"
#include "proxy/outlier/ServerAnswer.h"
#include "proxy/outlier/ServerJudgement.h"
#include "proxy/outlier/ServerUse.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** Judges the servers of one group by their answers and ejects those that fail or are slow, for a
    time that doubles. At most half of the group's replicas are ejected at once, and none if all
    servers look bad. An ejected server returns to use after a few reads that succeed.

    A gateway knows the answers of its own server, and the others' average times from their
    reports; a VM without gateways knows its own answers from all of them.

    Thread safety: none; one thread owns the object. */
class OutlierDetector
{
public:
  /** Reads that have to succeed before an ejected server is in use again. */
  static constexpr unsigned kProbes = 3;
  /** Shortest time between two such reads. */
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(50);

  explicit OutlierDetector(OutlierOptions aOptions);

  /** Sets the servers of the group. Those that are new start without a record. */
  void SetServers(const std::vector<ServerId>& aReplicas, const std::optional<ServerId>& aPrimary);

  /** Records an answer of a server of the group; others are ignored. Returns the ejection that
      it led to, if any. */
  std::optional<Ejection> Record(Instant aNow,
                                 const ServerId& aServer,
                                 const ServerAnswer& aAnswer);

  /** Records the average time of a read that another VM reported for a server. */
  void RecordReported(const ServerId& aServer, Duration aReadTime);

  /** Whether reads use the server. Doesn't concern writes and reads that only the primary can
      run. */
  ServerUse UseOf(Instant aNow, const ServerId& aServer) const;

  /** Whether this read may go to a server that is being probed. If so, it counts as a probe,
      and its answer must be recorded. False for servers that are not being probed. */
  bool TakeProbe(Instant aNow, const ServerId& aServer);

  /** For how long reads should still avoid the server, for ServerLoad::ejectedFor; zero if it
      is in use. While it is being probed, the time until the next ejection would end. */
  Duration EjectedFor(Instant aNow, const ServerId& aServer) const;

  /** The servers that are ejected now, or are being probed. */
  std::vector<Ejection> Ejections(Instant aNow) const;

private:
  bool RecordProbe(Instant aNow, const ServerId& aId, const ServerAnswer& aAnswer);
  std::optional<EjectionReason> Judge(Instant aNow,
                                      const ServerId& aId,
                                      const ServerJudgement& aServer) const;
  bool IsSlow(const ServerId& aId, Duration aReadTime) const;
  Duration ReferenceTime(const ServerId& aId) const;
  bool MayEject(const ServerId& aId) const;
  void Eject(Instant aNow, ServerJudgement& aServer) const;
  bool DoAllLookBad() const;

  OutlierOptions options;
  std::set<ServerId> replicas;
  std::optional<ServerId> primary;
  std::map<ServerId, ServerJudgement> servers;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "proxy/cluster/ServerRecord.h"
#include "proxy/outlier/Ejection.h"
#include "proxy/outlier/OutlierOptions.h"
#include "proxy/outlier/ServerAnswer.h"
#include "proxy/outlier/ServerRecordOfAnswers.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mustardshift::proxy {

/** Judges the servers of one group by their answers and ejects those that fail or are slow, for a
    time that doubles. At most half of the group's replicas are ejected at once, and none if all
   look alike. An ejected server returns to use after a few reads that succeed.

    A gateway knows the answers of its own server, and the others' average times from their reports;
    a VM without gateways knows its own answers from all of them.

    Thread safety: none; one thread owns the object. */
class OutlierDetector
{
public:
  /** Reads that have to succeed before an ejected server is in use again. */
  static constexpr unsigned kProbes = 3;
  /** Time between two such reads. */
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(50);

  explicit OutlierDetector(OutlierOptions aOptions);

  /** Sets the servers of the group. Those that are new start without a record. */
  void SetServers(const std::vector<ServerId>& aReplicas, const std::optional<ServerId>& aPrimary);

  /** Records an answer. Returns an ejection if the answer led to one. */
  std::optional<Ejection> Record(Instant aNow,
                                 const ServerId& aServer,
                                 const ServerAnswer& aAnswer);

  /** Records the average time of a read that another VM reported for a server. */
  void RecordReported(Instant aNow, const ServerId& aServer, Duration aReadTime);

  /** Whether a read may go to the server; writes and reads that only the primary can run always go
      to the primary and don't ask. */
  bool IsEjected(Instant aNow, const ServerId& aServer) const;

  /** Whether this read may test a server whose ejection time has passed. If so, it counts as one of
      the probes, and its answer must be recorded. */
  bool TakeProbe(Instant aNow, const ServerId& aServer);

  /** For how long reads should still avoid the server; zero if it is in use or may be probed. */
  Duration EjectedFor(Instant aNow, const ServerId& aServer) const;

  /** The servers that are ejected now, or are being probed. */
  std::vector<Ejection> Ejections(Instant aNow) const;

private:
  OutlierOptions options;
  std::set<ServerId> replicas;
  std::optional<ServerId> primary;
  std::map<ServerId, ServerRecordOfAnswers> records;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"
#include "proxy/admission/ServerLoad.h"
#include "proxy/cluster/ServerRecord.h"

#include <optional>
#include <unordered_map>

namespace mustardshift::proxy {

/** The latest load of each database server, as its gateway reported it. An old report decays
    towards "unloaded", so that a server whose reports were lost is tried again.

    Thread safety: none; one thread owns the object. */
class ServerLoadView
{
public:
  /** A report counts in full for this long. Gateways send a changed load within 50 ms; messages
      take up to 1 ms, and VMs with little processor time handle them up to 0.8 s later. */
  static constexpr Duration kFullFor = std::chrono::milliseconds(1000);
  /** After kFullFor, a load is halved each time this long has passed. */
  static constexpr Duration kHalfLife = std::chrono::milliseconds(500);

  /** A utilisation counts for this long. It is an average over a second and moves with the
      demand, not with single statements. */
  static constexpr Duration kUtilisationFor = std::chrono::seconds(10);

  /** Stores a report unless a later one is known.
      @param aMeasuredAt  when the gateway measured the load, on this VM's clock: the arrival of
        the report, less its age. */
  void Update(const ServerId& aServer, const ServerLoad& aLoad, Instant aMeasuredAt);

  /** Forgets a server that is no longer in the list. */
  void Forget(const ServerId& aServer) { this->reports.erase(aServer); }

  /** The load to assume now; an unloaded server if nothing is known. */
  ServerLoad LoadOf(Instant aNow, const ServerId& aServer) const;

  /** ServerLoad::utilisation as reported within kUtilisationFor; nothing if there is none. */
  std::optional<double> UtilisationOf(Instant aNow, const ServerId& aServer) const;

private:
  struct Report
  {
    ServerLoad load;
    Instant measuredAt{};
  };

  std::unordered_map<ServerId, Report> reports;
};

} // namespace mustardshift::proxy

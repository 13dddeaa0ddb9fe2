#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/DatabaseNetwork.h"
#include "proxy/session/SessionAccess.h"
#include "proxy/session/StatementFlight.h"

#include <string>

namespace mustardshift::proxy {

/** Writes one line with what decided a statement: the server that was asked, the believed primary,
   the log position that was needed, and the age of the configuration. Thread safety: none. */
template<DatabaseNetwork Network>
void LogStatement(Instant aNow,
                  EventLog& aLog,
                  const ClusterState& aCluster,
                  const std::string& aDatabase,
                  const SessionAccess& aAccess,
                  const StatementFlight<Network>& aFlight,
                  const ClientReply& aReply)
{
  const std::optional<ServerId> primary = aCluster.PrimaryOf(aAccess.route.group);
  const auto& floor = aFlight.floor;
  aLog.Write(
    aNow,
    "statement",
    aReply.error ? "refused" : "done",
    { { "id", aFlight.requestId },
      { "kind", std::string(NameOf(kStatementKindNames, aFlight.statement.kind)) },
      { "database", aDatabase },
      { "organisation", aAccess.organisation.Text() },
      { "server", aFlight.server ? aFlight.server->Text() : "none" },
      { "primary", primary ? primary->Text() : "none" },
      { "needed",
        floor ? std::to_string(floor->term) + "." + std::to_string(floor->offset) : "none" },
      { "error", aReply.error ? std::string(NameOf(kErrorCodeNames, *aReply.error)) : "none" },
      { "why", aReply.message },
      { "tries", std::to_string(aFlight.tries) },
      { "us", std::to_string((aNow - aFlight.startedAt).count()) },
      { "waited_us", std::to_string(aFlight.waited.count()) },
      { "configuration", std::to_string(aCluster.Configuration().version) },
      { "confirmed_ms", std::to_string((aNow - aCluster.ConfirmedAt()).count() / 1000) } });
}

} // namespace mustardshift::proxy

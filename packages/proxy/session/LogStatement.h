#pragma once

#include "core/base/Instant.h"
#include "proxy/cluster/ClusterState.h"
#include "proxy/log/EventLog.h"
#include "proxy/pool/DatabaseNetwork.h"
#include "proxy/session/ActiveStatement.h"
#include "proxy/session/SessionAccess.h"

#include <string>

namespace mustardshift::proxy {

/** Logs the outcome of a statement and the data that led to it: the server that was asked, the
    server that this VM considers the primary, the minimum log position, and the time since the
    configuration was confirmed. Thread safety: none. */
template<DatabaseNetwork Network>
void LogStatement(Instant aNow,
                  EventLog& aLog,
                  const ClusterState& aCluster,
                  const std::string& aDatabase,
                  const SessionAccess& aAccess,
                  const ActiveStatement<Network>& aStatement,
                  const ClientReply& aReply)
{
  const std::optional<ServerId> primary = aCluster.PrimaryOf(aAccess.route.group);
  const auto& minimumPosition = aStatement.minimumPosition;
  aLog.Write(
    aNow,
    "statement",
    aReply.error ? "refused" : "done",
    { { "id", aStatement.requestId },
      { "kind", std::string(NameOf(kStatementKindNames, aStatement.statement.kind)) },
      { "database", aDatabase },
      { "organisation", aAccess.organisation.Text() },
      { "server", aStatement.server ? aStatement.server->Text() : "none" },
      { "primary", primary ? primary->Text() : "none" },
      { "needed",
        minimumPosition
          ? std::to_string(minimumPosition->term) + "." + std::to_string(minimumPosition->offset)
          : "none" },
      { "error", aReply.error ? std::string(NameOf(kErrorCodeNames, *aReply.error)) : "none" },
      { "why", aReply.message },
      { "tries", std::to_string(aStatement.attempts) },
      { "us", std::to_string((aNow - aStatement.startedAt).count()) },
      { "waited_us", std::to_string(aStatement.connectionWait.count()) },
      { "configuration", std::to_string(aCluster.Configuration().version) },
      { "confirmed_ms", std::to_string((aNow - aCluster.ConfirmedAt()).count() / 1000) } });
}

} // namespace mustardshift::proxy

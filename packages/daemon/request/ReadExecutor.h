#pragma once

#include "core/base/RequestKind.h"
#include "core/session/SessionToken.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/StatementResult.h"

#include <memory>
#include <optional>
#include <set>

namespace mustardshift {

/** Runs one read outside of transactions, on the primary or on a replica that is as up to date as
    the session and the route require. A failed read is retried on other servers until its deadline.

    Thread safety: the request loop's thread only. */
class ReadExecutor : public std::enable_shared_from_this<ReadExecutor>
{
public:
  ReadExecutor(EventLoop& aLoop,
               std::shared_ptr<DatabaseDispatcher> aDispatcher,
               CallerRequest aRequest,
               OrganisationName aOrganisation,
               SessionToken aToken,
               Duration aFreshness,
               StatementCallback aCallback);

  /** Starts the read. Precondition: called once. */
  void Start(Instant aNow) { this->Plan(aNow); }

private:
  void Plan(Instant aNow);
  void ReadFrom(Instant aNow, const ServerAddress& aServer, bool aIsPrimary);
  void OnConnection(Instant aNow,
                    const ServerAddress& aServer,
                    bool aIsPrimary,
                    const std::shared_ptr<ConnectionLease>& aLease);
  void OnAnswer(Instant aNow,
                const ServerAddress& aServer,
                Instant aSentAt,
                bool aIsPrimary,
                const Outcome<database::v1::Answer>& aAnswer);
  void DeliverResult(Instant aNow, Instant aSentAt, StatementResult aResult, bool aIsPrimary);
  void RetryOnOtherServer(Instant aNow, const ServerAddress& aFailed);
  void RetryAllServersLater(Instant aNow);
  void Refuse(Instant aNow, Refusal aRefusal);

  EventLoop& loop;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
  CallerRequest request;
  OrganisationName organisation;
  SessionToken token;
  Duration freshness;
  StatementCallback callback;
  LogPosition minimumPosition;
  std::set<ServerAddress> failedServers;
  /** Read-only and repeatable; mayHaveRunBefore is set once an attempt may have run. */
  RequestKind kind{ true, true, false };
};

} // namespace mustardshift

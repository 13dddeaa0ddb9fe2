#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/KeyIndex.h"
#include "core/rate/OrganisationQuotaTable.h"
#include "core/session/SessionTokenCodec.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/request/AuthenticatedRequest.h"
#include "daemon/request/CallerReply.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/ServingState.h"
#include "daemon/request/StatementResult.h"
#include "daemon/request/WorkKind.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace mustardshift {

/** Processes clients' requests from arrival to reply: checks them, applies their organisation's
    quota and dispatches them to their database.

    Thread safety: the request loop's thread only. */
class RequestProcessor
{
public:
  /** Called at the end of each request with its organisation, its outcome and the time it took. */
  using Observer =
    std::function<void(const OrganisationName&, const Outcome<CallerAnswer>&, Duration aElapsed)>;

  /** aServingState and aQuota must outlive the processor.
      @param aServingState  whether new work may start; see ServingState.
      @param aQuota  the quotas of the organisations. */
  RequestProcessor(EventLoop& aLoop,
                   std::string aUserAgent,
                   FailureDomainName aFailureDomain,
                   ServingState& aServingState,
                   OrganisationQuotaTable& aQuota,
                   Observer aObserver);

  /** Sets a function that is called whenever a request has to wait for its organisation's quota. */
  void SetWaitObserver(std::function<void(Instant, const OrganisationName&)> aObserver)
  {
    this->waitObserver = std::move(aObserver);
  }

  /** Applies an accepted configuration. */
  void Configure(Instant aNow, std::shared_ptr<const Configuration> aConfiguration);

  /** Sets the primary of a database; ignored unless its term is later than the known one. */
  void SetPrimary(Instant aNow, const DatabaseName& aDatabase, const GroupPrimary& aPrimary);

  /** Runs one statement outside of transactions. aReply is called exactly once. */
  void Execute(Instant aNow, CallerRequest aRequest, ReplyCallback aReply);

  /** Makes all checks that precede the quota: serving state, form, route, key, session token and
      database. */
  Outcome<AuthenticatedRequest> Authenticate(Instant aNow,
                                             const CallerRequest& aRequest,
                                             WorkKind aKind) const;

  /** Takes a token from the rate quota of the request's organisation and calls back once the
      request is admitted, which may be after a wait, or refused. Requests on public routes are
      admitted at once. The callback may run within the call. */
  void Admit(Instant aNow,
             const AuthenticatedRequest& aRequest,
             const std::function<void(Instant, Outcome<void>)>& aCallback);

  /** Encodes a session token for the client. */
  std::string EncodeToken(SessionToken aToken) const
  {
    return this->codec->Encode(std::move(aToken));
  }

  /** Returns the dispatcher of a database, or null. */
  std::shared_ptr<DatabaseDispatcher> FindDispatcher(const DatabaseName& aDatabase) const;
  const std::map<DatabaseName, std::shared_ptr<DatabaseDispatcher>>& Dispatchers() const
  {
    return this->dispatchers;
  }
  const Configuration& GetConfiguration() const { return *this->configuration; }

  const ServingState& GetServingState() const { return this->servingState; }

  /** Returns the number of requests without a reply so far, including those in transactions. */
  std::size_t RunningRequests() const { return *this->running; }

  /** Wraps aReply so that the request counts as running until the reply is called.
      @param aReply  a function of one argument, called exactly once. */
  template<class Answer>
  std::function<void(Outcome<Answer>)> CountWhileRunning(
    std::function<void(Outcome<Answer>)> aReply) const
  {
    ++*this->running;
    return [count = this->running, reply = std::move(aReply)](Outcome<Answer> aAnswer) {
      --*count;
      reply(std::move(aAnswer));
    };
  }

private:
  Outcome<void> CheckServing() const;
  void Run(Instant aNow,
           const CallerRequest& aRequest,
           const AuthenticatedRequest& aAuthenticated,
           const ReplyCallback& aReply);
  void AdmitWaiting(Instant aNow,
                    const OrganisationName& aOrganisation,
                    const Admission& aAdmission,
                    const std::function<void(Instant, Outcome<void>)>& aCallback);
  ReplyCallback ObserveReply(Instant aNow, OrganisationName aOrganisation, ReplyCallback aReply);
  const Route* FindRoute(const RouteName& aName) const;

  EventLoop& loop;
  std::string userAgent;
  FailureDomainName failureDomain;
  ServingState& servingState;
  OrganisationQuotaTable& quota;
  Observer observer;
  std::function<void(Instant, const OrganisationName&)> waitObserver =
    [](Instant, const OrganisationName&) {};
  std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
  KeyIndex keys;
  std::optional<SessionTokenCodec> codec;
  std::map<RouteName, const Route*> routes;
  std::map<DatabaseName, std::shared_ptr<DatabaseDispatcher>> dispatchers;
  std::map<DatabaseName, GroupPrimary> primaries;
  std::shared_ptr<std::size_t> running = std::make_shared<std::size_t>(0);
};

} // namespace mustardshift

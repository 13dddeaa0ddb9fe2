#include "daemon/request/RequestProcessor.h"

#include "adapters/clock/SystemBootClock.h"
#include "daemon/request/DatabaseFrames.h"
#include "daemon/request/ReadExecutor.h"
#include "daemon/request/WriteExecutor.h"

#include <utility>

namespace mustardshift {

namespace {

constexpr std::size_t kMaxRequestIdBytes = 64;
constexpr std::size_t kMaxStatementBytes = std::size_t{ 1 } << 20U;
/** Name under which requests on public routes are queued, in place of an organisation. */
const char* const kPublicQueueName = "(public)";

Outcome<void> ValidateRequest(const CallerRequest& aRequest)
{
  if (aRequest.route.IsEmpty()) {
    return RefuseNotRun(Reason::RequestMalformed, "the request names no route");
  }
  if (aRequest.requestId.IsEmpty() || aRequest.requestId.Text().size() > kMaxRequestIdBytes) {
    return RefuseNotRun(Reason::RequestMalformed, "the request id needs 1 to 64 bytes");
  }
  std::size_t size = aRequest.statement.text.size();
  for (const std::string& parameter : aRequest.statement.parameters) {
    size += parameter.size();
  }
  if (size > kMaxStatementBytes) {
    return RefuseNotRun(Reason::RequestMalformed, "the statement is longer than 1 MiB");
  }
  return {};
}

} // namespace

RequestProcessor::RequestProcessor(EventLoop& aLoop,
                                   std::string aUserAgent,
                                   FailureDomainName aFailureDomain,
                                   ServingState& aServingState,
                                   OrganisationQuotaTable& aQuota,
                                   Observer aObserver)
  : loop(aLoop)
  , userAgent(std::move(aUserAgent))
  , failureDomain(std::move(aFailureDomain))
  , servingState(aServingState)
  , quota(aQuota)
  , observer(std::move(aObserver))
{
}

void RequestProcessor::Configure(Instant aNow, std::shared_ptr<const Configuration> aConfiguration)
{
  this->configuration = std::move(aConfiguration);
  this->keys = KeyIndex(*this->configuration);
  this->codec.reset();
  if (!this->configuration->tokenSecret.empty()) {
    this->codec.emplace(this->configuration->tokenSecret);
  }
  this->routes.clear();
  for (const Route& route : this->configuration->routes) {
    this->routes.emplace(route.name, &route);
  }
  this->quota.Configure(aNow, this->configuration->organisations);
  std::map<DatabaseName, std::shared_ptr<DatabaseDispatcher>> configured;
  for (const DatabaseGroup& group : this->configuration->databases) {
    std::shared_ptr<DatabaseDispatcher> dispatcher = this->FindDispatcher(group.name);
    if (!dispatcher) {
      dispatcher = std::make_shared<DatabaseDispatcher>(
        this->loop, group.name, this->userAgent, this->failureDomain);
    }
    dispatcher->Configure(aNow, *this->configuration);
    const auto primary = this->primaries.find(group.name);
    if (primary != this->primaries.end()) {
      dispatcher->SetPrimary(aNow, primary->second);
    }
    configured.emplace(group.name, std::move(dispatcher));
  }
  this->dispatchers = std::move(configured);
}

void RequestProcessor::SetPrimary(Instant aNow,
                                  const DatabaseName& aDatabase,
                                  const GroupPrimary& aPrimary)
{
  GroupPrimary& known = this->primaries[aDatabase];
  if (aPrimary.term <= known.term) {
    return;
  }
  known = aPrimary;
  if (const auto dispatcher = this->FindDispatcher(aDatabase)) {
    dispatcher->SetPrimary(aNow, aPrimary);
  }
}

std::shared_ptr<DatabaseDispatcher> RequestProcessor::FindDispatcher(
  const DatabaseName& aDatabase) const
{
  const auto found = this->dispatchers.find(aDatabase);
  return found == this->dispatchers.end() ? nullptr : found->second;
}

const Route* RequestProcessor::FindRoute(const RouteName& aName) const
{
  const auto found = this->routes.find(aName);
  return found == this->routes.end() ? nullptr : found->second;
}

Outcome<void> RequestProcessor::CheckServing() const
{
  if (this->servingState.isDraining) {
    return RefuseNotRun(Reason::VmDraining, "this VM is shutting down; use another one");
  }
  if (this->configuration->drainedFailureDomains.contains(this->failureDomain)) {
    return RefuseNotRun(Reason::FailureDomainDrained,
                        "this VM's failure domain is out of service; use another VM");
  }
  return {};
}

Outcome<AuthenticatedRequest> RequestProcessor::Authenticate(Instant aNow,
                                                             const CallerRequest& aRequest,
                                                             WorkKind aKind) const
{
  if (aKind == WorkKind::New) {
    const Outcome<void> serving = this->CheckServing();
    if (!serving) {
      return tl::unexpected<Refusal>(serving.error());
    }
  }
  const Outcome<void> validated = ValidateRequest(aRequest);
  if (!validated) {
    return tl::unexpected<Refusal>(validated.error());
  }
  const Route* route = this->FindRoute(aRequest.route);
  if (route == nullptr) {
    return RefuseNotRun(Reason::RouteUnknown, "no route has this name");
  }
  AuthenticatedRequest authenticated;
  authenticated.route = *route;
  if (!route->isPublic) {
    if (!this->servingState.trust.IsTrusted(aNow)) {
      return RefuseNotRun(Reason::ConfigurationUntrusted,
                          "this VM is cut off and can't tell whether keys are still valid");
    }
    Outcome<OrganisationName> organisation = this->keys.Find(aRequest.key);
    if (!organisation) {
      return tl::unexpected<Refusal>(organisation.error());
    }
    if (*organisation != route->organisation) {
      return RefuseNotRun(Reason::OrganisationMismatch,
                          "the route belongs to another organisation than the key");
    }
    authenticated.organisation = *organisation;
  }
  if (!this->codec) {
    return RefuseNotRun(Reason::ConfigurationUntrusted, "no schema has been applied");
  }
  Outcome<SessionToken> token =
    this->codec->Decode(aRequest.sessionToken, authenticated.organisation);
  if (!token) {
    return tl::unexpected<Refusal>(token.error());
  }
  authenticated.token = std::move(*token);
  authenticated.dispatcher = this->FindDispatcher(route->database);
  if (!authenticated.dispatcher ||
      (aKind == WorkKind::New && !authenticated.dispatcher->IsInService())) {
    return RefuseNotRun(Reason::DatabaseDrained, "the route's database is out of service");
  }
  return authenticated;
}

void RequestProcessor::Admit(Instant aNow,
                             const AuthenticatedRequest& aRequest,
                             const std::function<void(Instant, Outcome<void>)>& aCallback)
{
  if (aRequest.organisation.IsEmpty()) {
    aCallback(aNow, {});
    return;
  }
  const Outcome<Admission> admission = this->quota.Admit(aNow, aRequest.organisation);
  if (!admission) {
    aCallback(aNow, tl::unexpected<Refusal>(admission.error()));
  } else if (admission->isAdmitted) {
    aCallback(aNow, {});
  } else {
    this->AdmitWaiting(aNow, aRequest.organisation, *admission, aCallback);
  }
}

void RequestProcessor::AdmitWaiting(Instant aNow,
                                    const OrganisationName& aOrganisation,
                                    const Admission& aAdmission,
                                    const std::function<void(Instant, Outcome<void>)>& aCallback)
{
  this->waitObserver(aNow, aOrganisation);
  this->loop.Schedule(aAdmission.waitUntil,
                      [this, aOrganisation, aAdmission, aCallback](Instant aLater) {
                        const Outcome<Admission> admission =
                          this->quota.RetryAdmission(aLater, aOrganisation, aAdmission);
                        if (!admission) {
                          aCallback(aLater, tl::unexpected<Refusal>(admission.error()));
                        } else if (admission->isAdmitted) {
                          aCallback(aLater, {});
                        } else {
                          this->AdmitWaiting(aLater, aOrganisation, *admission, aCallback);
                        }
                      });
}

ReplyCallback RequestProcessor::ObserveReply(Instant aNow,
                                             OrganisationName aOrganisation,
                                             ReplyCallback aReply)
{
  return [this,
          aNow,
          organisation = std::move(aOrganisation),
          reply = this->CountWhileRunning<CallerAnswer>(std::move(aReply))](
           const Outcome<CallerAnswer>& aAnswer) {
    this->observer(
      organisation, aAnswer, std::chrono::duration_cast<Duration>(SystemBootClock{}.Now() - aNow));
    reply(aAnswer);
  };
}

void RequestProcessor::Execute(Instant aNow, CallerRequest aRequest, ReplyCallback aReply)
{
  const Outcome<AuthenticatedRequest> authenticated =
    this->Authenticate(aNow, aRequest, WorkKind::New);
  const ReplyCallback reply = this->ObserveReply(
    aNow, authenticated ? authenticated->organisation : OrganisationName(), std::move(aReply));
  if (!authenticated) {
    reply(tl::unexpected<Refusal>(authenticated.error()));
    return;
  }
  this->Admit(aNow,
              *authenticated,
              [this, request = std::move(aRequest), authenticated, reply](
                Instant aLater, const Outcome<void>& aAdmitted) {
                if (!aAdmitted) {
                  reply(tl::unexpected<Refusal>(aAdmitted.error()));
                  return;
                }
                this->Run(aLater, request, *authenticated, reply);
              });
}

void RequestProcessor::Run(Instant aNow,
                           const CallerRequest& aRequest,
                           const AuthenticatedRequest& aAuthenticated,
                           const ReplyCallback& aReply)
{
  const OrganisationName queueName = aAuthenticated.organisation.IsEmpty()
                                       ? OrganisationName(kPublicQueueName)
                                       : aAuthenticated.organisation;
  const StatementCallback finish = [this,
                                    reply = aReply,
                                    token = aAuthenticated.token,
                                    database = aAuthenticated.route.database,
                                    isRead = aRequest.isReadOnly](
                                     Instant /*aLater*/, const Outcome<StatementResult>& aResult) {
    if (!aResult) {
      reply(tl::unexpected<Refusal>(aResult.error()));
      return;
    }
    SessionToken seen = token;
    if (isRead) {
      seen.ObserveRead(database, aResult->position);
    } else {
      seen.ObserveWrite(database, aResult->position);
    }
    reply(
      CallerAnswer{ aResult->rows, this->EncodeToken(std::move(seen)), aResult->servedByReplica });
  };
  CallerRequest request = aRequest;
  request.requestId = ScopedRequestId(aAuthenticated.organisation, aRequest.requestId);
  if (request.isReadOnly) {
    std::make_shared<ReadExecutor>(this->loop,
                                   aAuthenticated.dispatcher,
                                   request,
                                   queueName,
                                   aAuthenticated.token,
                                   aAuthenticated.route.freshness,
                                   finish)
      ->Start(aNow);
    return;
  }
  std::make_shared<WriteExecutor>(this->loop, aAuthenticated.dispatcher, request, queueName, finish)
    ->Start(aNow);
}

} // namespace mustardshift

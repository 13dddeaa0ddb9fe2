#include "standins/platform/PlatformServer.h"

#include "adapters/timer/DeadlineTimer.h"
#include "control.grpc.pb.h"
#include "platform.grpc.pb.h"
#include "standins/common/DeferredReply.h"
#include "standins/common/ServerProcess.h"
#include "standins/common/UserAgent.h"
#include "standins/platform/CapacityLimit.h"
#include "standins/platform/TableStore.h"

#include <chrono>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace mustardshift::standin {

namespace pv1 = platform::v1;

namespace {

/** What the services share. */
class PlatformState
{
public:
  explicit PlatformState(const PlatformOptions& aOptions)
    : tableWrites(aOptions.writesPerSecond, aOptions.writesPerSecond / 10)
    , tableReads(aOptions.readsPerSecond, aOptions.readsPerSecond / 10)
    , objectWrites(aOptions.writesPerSecond, aOptions.writesPerSecond / 10)
    , objectReads(aOptions.readsPerSecond, aOptions.readsPerSecond / 10)
    , directoryReads(aOptions.readsPerSecond, aOptions.readsPerSecond / 10)
  {
  }

  /** Runs a call when the capacity allows it, unless there is an outage; the answer leaves after
      the set delay. aRun returns the response, or nothing when its answer is lost. */
  template<class Response, class Run>
  grpc::ServerUnaryReactor* Handle(const grpc::CallbackServerContext& aContext,
                                   CapacityLimit& aLimit,
                                   std::uint64_t (v1::PlatformCounters::*aCount)() const,
                                   void (v1::PlatformCounters::*aSetCount)(std::uint64_t),
                                   Response* aResponse,
                                   Run aRun)
  {
    auto reply = DeferredReply<Response>::Make(aResponse);
    const std::string userAgent = UserAgentOf(aContext);
    {
      const std::lock_guard lock(this->mutex);
      (this->counters.*aSetCount)((this->counters.*aCount)() + 1);
    }
    const std::optional<Duration> wait = aLimit.Reserve();
    if (!wait) {
      reply->Fail({ grpc::StatusCode::UNAVAILABLE, "over capacity" });
      return reply.get();
    }
    auto run = [this, reply, userAgent, aRun = std::move(aRun)] {
      switch (this->OutageFor(userAgent)) {
        case v1::OUTAGE_MODE_REFUSE:
          reply->Fail({ grpc::StatusCode::UNAVAILABLE, "outage" });
          return;
        case v1::OUTAGE_MODE_SILENT:
          return;
        default:
          break;
      }
      std::optional<Response> response = aRun();
      if (!response) {
        return;
      }
      const Duration delay = this->AnswerDelay();
      if (delay.count() == 0) {
        reply->Answer(std::move(*response));
        return;
      }
      this->timer.Schedule(delay,
                           [reply, response = std::move(*response)] { reply->Answer(response); });
    };
    if (wait->count() == 0) {
      run();
    } else {
      {
        const std::lock_guard lock(this->mutex);
        this->counters.set_delayed(this->counters.delayed() + 1);
      }
      this->timer.Schedule(*wait, std::move(run));
    }
    return reply.get();
  }

  std::optional<pv1::CommitResponse> Commit(const pv1::CommitRequest& aRequest)
  {
    pv1::CommitResponse response = this->table.Commit(aRequest);
    const std::lock_guard lock(this->mutex);
    if (!response.committed()) {
      this->counters.set_conflicts(this->counters.conflicts() + 1);
      return response;
    }
    if (this->answersToDrop > 0) {
      --this->answersToDrop;
      this->counters.set_dropped_answers(this->counters.dropped_answers() + 1);
      return std::nullopt;
    }
    return response;
  }

  void SetOutage(const v1::SetOutageRequest& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    this->outage = aRequest.mode();
    this->outageUserAgents.assign(aRequest.user_agents().begin(), aRequest.user_agents().end());
  }

  void SetDelay(Duration aDelay)
  {
    const std::lock_guard lock(this->mutex);
    this->answerDelay = aDelay;
  }

  void DropCommitAnswers(std::uint32_t aCount)
  {
    const std::lock_guard lock(this->mutex);
    this->answersToDrop = aCount;
  }

  void SetVms(const v1::SetVmsRequest& aRequest)
  {
    pv1::ListResponse list;
    for (const v1::ControlledVm& vm : aRequest.vms()) {
      pv1::ListedVm& listed = *list.add_vms();
      listed.set_address(vm.address());
      listed.set_failure_domain(vm.failure_domain());
      listed.set_leaving(vm.leaving());
    }
    if (aRequest.lag_ms() == 0) {
      this->ShowVms(std::move(list));
      return;
    }
    this->timer.Schedule(std::chrono::milliseconds(aRequest.lag_ms()),
                         [this, list = std::move(list)] { this->ShowVms(list); });
  }

  pv1::ListResponse Vms() const
  {
    const std::lock_guard lock(this->mutex);
    return this->vms;
  }

  void Put(const pv1::PutRequest& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    this->objects[aRequest.name()] = aRequest.content();
  }

  pv1::GetResponse Get(const std::string& aName) const
  {
    const std::lock_guard lock(this->mutex);
    pv1::GetResponse response;
    const auto found = this->objects.find(aName);
    if (found != this->objects.end()) {
      response.set_found(true);
      response.set_content(found->second);
    }
    return response;
  }

  v1::PlatformCounters Counters() const
  {
    const std::lock_guard lock(this->mutex);
    return this->counters;
  }

  TableStore table;
  CapacityLimit tableWrites;
  CapacityLimit tableReads;
  CapacityLimit objectWrites;
  CapacityLimit objectReads;
  CapacityLimit directoryReads;

private:
  v1::OutageMode OutageFor(const std::string& aUserAgent)
  {
    const std::lock_guard lock(this->mutex);
    if (this->outage == v1::OUTAGE_MODE_NONE ||
        (!this->outageUserAgents.empty() && !StartsWithAny(aUserAgent, this->outageUserAgents))) {
      return v1::OUTAGE_MODE_NONE;
    }
    this->counters.set_refused(this->counters.refused() + 1);
    return this->outage;
  }

  Duration AnswerDelay() const
  {
    const std::lock_guard lock(this->mutex);
    return this->answerDelay;
  }

  void ShowVms(pv1::ListResponse aList)
  {
    const std::lock_guard lock(this->mutex);
    this->vms = std::move(aList);
  }

  mutable std::mutex mutex;
  v1::PlatformCounters counters;
  v1::OutageMode outage = v1::OUTAGE_MODE_NONE;
  std::vector<std::string> outageUserAgents;
  Duration answerDelay = Duration(0);
  std::uint32_t answersToDrop = 0;
  pv1::ListResponse vms;
  std::map<std::string, std::string> objects;
  // Destroyed first, so that no action uses a member that is gone.
  DeadlineTimer timer;
};

class TableServiceImpl : public pv1::TableService::CallbackService
{
public:
  explicit TableServiceImpl(PlatformState& aState)
    : state(aState)
  {
  }

  grpc::ServerUnaryReactor* Commit(grpc::CallbackServerContext* aContext,
                                   const pv1::CommitRequest* aRequest,
                                   pv1::CommitResponse* aResponse) override
  {
    return this->state.Handle(
      *aContext,
      this->state.tableWrites,
      &v1::PlatformCounters::commits,
      &v1::PlatformCounters::set_commits,
      aResponse,
      [state = &this->state, request = *aRequest] { return state->Commit(request); });
  }

  grpc::ServerUnaryReactor* Read(grpc::CallbackServerContext* aContext,
                                 const pv1::ReadRequest* aRequest,
                                 pv1::ReadResponse* aResponse) override
  {
    return this->state.Handle(*aContext,
                              this->state.tableReads,
                              &v1::PlatformCounters::reads,
                              &v1::PlatformCounters::set_reads,
                              aResponse,
                              [state = &this->state, request = *aRequest] {
                                return std::optional(state->table.Read(request));
                              });
  }

  grpc::ServerUnaryReactor* Scan(grpc::CallbackServerContext* aContext,
                                 const pv1::ScanRequest* aRequest,
                                 pv1::ReadResponse* aResponse) override
  {
    return this->state.Handle(*aContext,
                              this->state.tableReads,
                              &v1::PlatformCounters::scans,
                              &v1::PlatformCounters::set_scans,
                              aResponse,
                              [state = &this->state, request = *aRequest] {
                                return std::optional(state->table.Scan(request));
                              });
  }

private:
  PlatformState& state;
};

class ObjectStoreImpl : public pv1::ObjectStore::CallbackService
{
public:
  explicit ObjectStoreImpl(PlatformState& aState)
    : state(aState)
  {
  }

  grpc::ServerUnaryReactor* Put(grpc::CallbackServerContext* aContext,
                                const pv1::PutRequest* aRequest,
                                pv1::PutResponse* aResponse) override
  {
    return this->state.Handle(*aContext,
                              this->state.objectWrites,
                              &v1::PlatformCounters::puts,
                              &v1::PlatformCounters::set_puts,
                              aResponse,
                              [state = &this->state, request = *aRequest] {
                                state->Put(request);
                                return std::optional(pv1::PutResponse());
                              });
  }

  grpc::ServerUnaryReactor* Get(grpc::CallbackServerContext* aContext,
                                const pv1::GetRequest* aRequest,
                                pv1::GetResponse* aResponse) override
  {
    return this->state.Handle(
      *aContext,
      this->state.objectReads,
      &v1::PlatformCounters::gets,
      &v1::PlatformCounters::set_gets,
      aResponse,
      [state = &this->state, name = aRequest->name()] { return std::optional(state->Get(name)); });
  }

private:
  PlatformState& state;
};

class VmDirectoryImpl : public pv1::VmDirectory::CallbackService
{
public:
  explicit VmDirectoryImpl(PlatformState& aState)
    : state(aState)
  {
  }

  grpc::ServerUnaryReactor* List(grpc::CallbackServerContext* aContext,
                                 const pv1::ListRequest* /*aRequest*/,
                                 pv1::ListResponse* aResponse) override
  {
    return this->state.Handle(*aContext,
                              this->state.directoryReads,
                              &v1::PlatformCounters::lists,
                              &v1::PlatformCounters::set_lists,
                              aResponse,
                              [state = &this->state] { return std::optional(state->Vms()); });
  }

private:
  PlatformState& state;
};

class PlatformControlImpl : public v1::PlatformControl::CallbackService
{
public:
  explicit PlatformControlImpl(PlatformState& aState)
    : state(aState)
  {
  }

  grpc::ServerUnaryReactor* SetOutage(grpc::CallbackServerContext* aContext,
                                      const v1::SetOutageRequest* aRequest,
                                      v1::ControlResponse* /*aResponse*/) override
  {
    this->state.SetOutage(*aRequest);
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* SetDelay(grpc::CallbackServerContext* aContext,
                                     const v1::SetDelayRequest* aRequest,
                                     v1::ControlResponse* /*aResponse*/) override
  {
    this->state.SetDelay(std::chrono::milliseconds(aRequest->delay_ms()));
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* DropCommitAnswers(grpc::CallbackServerContext* aContext,
                                              const v1::DropCommitAnswersRequest* aRequest,
                                              v1::ControlResponse* /*aResponse*/) override
  {
    this->state.DropCommitAnswers(aRequest->count());
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* SetVms(grpc::CallbackServerContext* aContext,
                                   const v1::SetVmsRequest* aRequest,
                                   v1::ControlResponse* /*aResponse*/) override
  {
    this->state.SetVms(*aRequest);
    return Done(aContext);
  }

  grpc::ServerUnaryReactor* ReadCounters(grpc::CallbackServerContext* aContext,
                                         const v1::ReadCountersRequest* /*aRequest*/,
                                         v1::PlatformCounters* aResponse) override
  {
    *aResponse = this->state.Counters();
    return Done(aContext);
  }

private:
  static grpc::ServerUnaryReactor* Done(grpc::CallbackServerContext* aContext)
  {
    grpc::ServerUnaryReactor* reactor = aContext->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
  }

  PlatformState& state;
};

} // namespace

struct PlatformServer::Implementation
{
  explicit Implementation(const PlatformOptions& aOptions)
    : state(aOptions)
    , table(state)
    , objectStore(state)
    , vmDirectory(state)
    , control(state)
  {
  }

  PlatformState state;
  TableServiceImpl table;
  ObjectStoreImpl objectStore;
  VmDirectoryImpl vmDirectory;
  PlatformControlImpl control;
  std::unique_ptr<grpc::Server> server;
  std::string address;
};

std::unique_ptr<PlatformServer> PlatformServer::Start(const PlatformOptions& aOptions)
{
  auto implementation = std::make_unique<Implementation>(aOptions);
  int port = 0;
  implementation->server = StartServer(aOptions.listen,
                                       { &implementation->table,
                                         &implementation->objectStore,
                                         &implementation->vmDirectory,
                                         &implementation->control },
                                       port);
  if (!implementation->server) {
    return nullptr;
  }
  implementation->address =
    aOptions.listen.substr(0, aOptions.listen.rfind(':') + 1) + std::to_string(port);
  return std::unique_ptr<PlatformServer>(new PlatformServer(std::move(implementation)));
}

PlatformServer::PlatformServer(std::unique_ptr<Implementation> aImplementation)
  : implementation(std::move(aImplementation))
{
}

PlatformServer::~PlatformServer()
{
  // Cancels the calls that wait; without a deadline it would wait for them forever.
  this->implementation->server->Shutdown(std::chrono::system_clock::now());
}

const std::string& PlatformServer::Address() const
{
  return this->implementation->address;
}

} // namespace mustardshift::standin

#include "load/LoadRun.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <thread>
#include <utility>

namespace mustardshift::bench {

namespace {

constexpr std::size_t kShownViolations = 10;
constexpr unsigned kFinalAttempts = 20;
constexpr auto kFinalPause = std::chrono::milliseconds(250);

std::optional<std::int64_t> ParseBalance(const std::string& aText)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return error == std::errc() && end == aText.data() + aText.size() ? std::optional(value)
                                                                    : std::nullopt;
}

const char* NameOfVerdict(caller::v1::Verdict aVerdict)
{
  switch (aVerdict) {
    case caller::v1::VERDICT_RUN:
      return "run";
    case caller::v1::VERDICT_NOT_RUN:
      return "not-run";
    default:
      return "may-have-run";
  }
}

} // namespace

/** One request, or one transaction with its calls. */
struct LoadRun::Call
{
  Session* session = nullptr;
  Arrival arrival;
  std::size_t target = 0;
  std::string key;
  std::string bookingKey;
  std::string requestId;
  bool readsBalance = false;
  std::unique_ptr<grpc::ClientContext> context;
  caller::v1::ExecuteRequest request;
  caller::v1::ExecuteResponse response;
  caller::v1::BeginRequest beginRequest;
  caller::v1::BeginResponse beginResponse;
  caller::v1::TransactionStatementRequest statementRequest;
  caller::v1::EndTransactionRequest endRequest;
  unsigned statements = 0;
  /** Until the commit is sent, a lost answer can't have had an effect. */
  bool mayHaveRun = false;
};

LoadRun::LoadRun(LoadOptions aOptions)
  : options(std::move(aOptions))
  , channels(this->options.targets, this->options.channelsPerTarget)
  , random(this->options.seed)
  , sessionsByOrganisation(this->options.organisations.size())
  , ledgers(this->options.organisations.size())
{
  for (std::size_t index = 0; index < this->options.organisations.size(); ++index) {
    for (std::size_t count = 0; count < this->options.organisations[index].sessions; ++count) {
      auto session = std::make_unique<Session>();
      session->organisation = index;
      session->number = this->sessions.size();
      this->sessionsByOrganisation[index].push_back(session.get());
      this->sessions.push_back(std::move(session));
    }
  }
}

LoadResult LoadRun::Run()
{
  std::vector<double> rates;
  double total = 0;
  for (const LoadedOrganisation& organisation : this->options.organisations) {
    rates.push_back(organisation.rate);
    total += organisation.rate;
  }
  std::discrete_distribution<std::size_t> drawOrganisation(rates.begin(), rates.end());
  std::exponential_distribution<double> drawGap(total);
  std::uniform_real_distribution<double> drawKind(0, 1);

  const auto start = Clock::now();
  auto next = start;
  std::uint64_t arrivals = 0;
  while (arrivals < this->options.maximumRequests && next - start < this->options.length) {
    std::this_thread::sleep_until(next);
    const std::lock_guard lock(this->mutex);
    const auto& candidates = this->sessionsByOrganisation[drawOrganisation(this->random)];
    Session& session = *candidates[this->random() % candidates.size()];
    const double drawn = drawKind(this->random);
    Arrival arrival{ Kind::Read, next };
    if (drawn < this->options.bookingShare) {
      arrival.kind = Kind::Booking;
    } else if (drawn < this->options.bookingShare + this->options.depositShare) {
      arrival.kind = Kind::Deposit;
    } else if (drawn < this->options.bookingShare + this->options.depositShare +
                         this->options.transactionShare) {
      arrival.kind = Kind::Transaction;
    }
    ++arrivals;
    if (this->inFlight >= this->options.maximumInFlight) {
      ++this->result.leftOut;
    } else {
      ++this->inFlight;
      session.arrivals.push_back(arrival);
      this->Start(session);
    }
    next += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(drawGap(this->random)));
  }
  {
    std::unique_lock lock(this->mutex);
    // Each call ends by its own deadline; a session's queue may hold several.
    this->idle.wait_for(
      lock, 10 * this->options.requestTimeout, [this] { return this->inFlight == 0; });
    if (this->inFlight > 0) {
      this->Violate("answers are still missing after their deadlines");
    }
  }
  this->result.seconds = std::chrono::duration<double>(Clock::now() - start).count();
  this->CheckAtEnd();
  return this->result;
}

/** Starts the session's next request unless one is under way. Called under the mutex. */
void LoadRun::Start(Session& aSession)
{
  if (aSession.isBusy || aSession.arrivals.empty()) {
    return;
  }
  aSession.isBusy = true;
  const auto call = std::make_shared<Call>();
  call->session = &aSession;
  call->arrival = aSession.arrivals.front();
  aSession.arrivals.pop_front();
  call->target = this->random() % this->channels.TargetCount();
  const LoadedOrganisation& organisation = this->options.organisations[aSession.organisation];
  call->key = organisation.key;
  call->requestId = this->options.runId + "-" + std::to_string(aSession.number) + "-" +
                    std::to_string(++aSession.lastRequest);
  caller::v1::ExecuteRequest& request = call->request;
  request.set_route(organisation.route);
  request.set_session_token(aSession.token);
  request.set_request_id(call->requestId);
  switch (call->arrival.kind) {
    case Kind::Booking:
      call->bookingKey = this->BookingPrefixOf(aSession.organisation) + call->requestId;
      request.set_statement("INSERT ? ?");
      request.add_parameters(call->bookingKey);
      request.add_parameters(call->requestId);
      request.set_repeatable(true);
      break;
    case Kind::Deposit:
      request.set_statement("ADD ? 1");
      request.add_parameters(this->AccountOf(aSession.organisation));
      break;
    case Kind::Transaction:
      call->beginRequest.set_route(organisation.route);
      call->beginRequest.set_session_token(aSession.token);
      call->beginRequest.set_request_id(call->requestId);
      this->SendTransaction(call);
      return;
    case Kind::Read:
      call->readsBalance = aSession.booking.empty() || this->random() % 2 == 0;
      call->bookingKey = aSession.booking;
      request.set_statement("GET ?");
      request.add_parameters(call->readsBalance ? this->AccountOf(aSession.organisation)
                                                : aSession.booking);
      request.set_read_only(true);
      request.set_repeatable(true);
      break;
  }
  call->mayHaveRun = true;
  this->SendStatement(call);
}

void LoadRun::SendStatement(const CallPointer& aCall)
{
  aCall->context = std::make_unique<grpc::ClientContext>();
  PrepareCall(*aCall->context, aCall->key, this->options.requestTimeout);
  this->channels.Stub(aCall->target, aCall->session->number)
    .async()
    ->Execute(aCall->context.get(),
              &aCall->request,
              &aCall->response,
              [this, aCall](const grpc::Status& aStatus) { this->Finish(aCall, aStatus.ok()); });
}

void LoadRun::SendTransaction(const CallPointer& aCall)
{
  aCall->context = std::make_unique<grpc::ClientContext>();
  PrepareCall(*aCall->context, aCall->key, this->options.requestTimeout);
  this->channels.Stub(aCall->target, aCall->session->number)
    .async()
    ->Begin(aCall->context.get(),
            &aCall->beginRequest,
            &aCall->beginResponse,
            [this, aCall](const grpc::Status& aStatus) {
              if (!aStatus.ok() || aCall->beginResponse.transaction_id().empty()) {
                *aCall->response.mutable_outcome() = aCall->beginResponse.outcome();
                this->Finish(aCall, aStatus.ok());
                return;
              }
              this->SendTransactionStatement(aCall);
            });
}

/** Moves one from a session's right purse to its left one, in two statements. */
void LoadRun::SendTransactionStatement(const CallPointer& aCall)
{
  constexpr unsigned kStatements = 2;
  if (aCall->statements == kStatements) {
    this->SendCommit(aCall);
    return;
  }
  const std::string purse = "purse/" + this->options.runId + "/" +
                            std::to_string(aCall->session->number) +
                            (aCall->statements == 0 ? "/left" : "/right");
  caller::v1::TransactionStatementRequest& request = aCall->statementRequest;
  request.set_transaction_id(aCall->beginResponse.transaction_id());
  request.set_statement(aCall->statements == 0 ? "ADD ? 1" : "ADD ? -1");
  request.clear_parameters();
  request.add_parameters(purse);
  ++aCall->statements;
  aCall->response.Clear();
  aCall->context = std::make_unique<grpc::ClientContext>();
  PrepareCall(*aCall->context, aCall->key, this->options.requestTimeout);
  this->channels.Stub(aCall->target, aCall->session->number)
    .async()
    ->ExecuteInTransaction(
      aCall->context.get(), &request, &aCall->response, [this, aCall](const grpc::Status& aStatus) {
        if (!aStatus.ok() || aCall->response.outcome().verdict() != caller::v1::VERDICT_RUN) {
          this->Finish(aCall, aStatus.ok());
          return;
        }
        this->SendTransactionStatement(aCall);
      });
}

void LoadRun::SendCommit(const CallPointer& aCall)
{
  aCall->mayHaveRun = true;
  aCall->endRequest.set_transaction_id(aCall->beginResponse.transaction_id());
  aCall->endRequest.set_request_id(aCall->requestId);
  aCall->response.Clear();
  aCall->context = std::make_unique<grpc::ClientContext>();
  PrepareCall(*aCall->context, aCall->key, this->options.requestTimeout);
  this->channels.Stub(aCall->target, aCall->session->number)
    .async()
    ->Commit(aCall->context.get(),
             &aCall->endRequest,
             &aCall->response,
             [this, aCall](const grpc::Status& aStatus) { this->Finish(aCall, aStatus.ok()); });
}

void LoadRun::Finish(const CallPointer& aCall, bool aHasAnswer)
{
  const auto time = std::chrono::duration_cast<Duration>(Clock::now() - aCall->arrival.at);
  const std::lock_guard lock(this->mutex);
  Session& session = *aCall->session;
  const caller::v1::Outcome& outcome = aCall->response.outcome();
  const std::string verdict = aHasAnswer ? NameOfVerdict(outcome.verdict()) : "no-answer";
  const std::string& organisation = this->options.organisations[session.organisation].name;
  this->result.latencies[{ organisation, verdict }].Add(time);
  ++this->result.requests;
  if (!aHasAnswer) {
    ++this->result.reasons["(no answer)"];
  } else if (!outcome.reason().empty()) {
    ++this->result.reasons[outcome.reason()];
  }
  const bool isRun = aHasAnswer && outcome.verdict() == caller::v1::VERDICT_RUN;
  // A refusal inside a transaction leaves nothing behind, whatever its verdict, until the commit.
  const bool isNotRun =
    !aCall->mayHaveRun || (aHasAnswer && outcome.verdict() == caller::v1::VERDICT_NOT_RUN);
  const WriteFate fate = isRun      ? WriteFate::Acknowledged
                         : isNotRun ? WriteFate::NotRun
                                    : WriteFate::Unknown;
  if (isRun && !aCall->response.session_token().empty()) {
    session.token = aCall->response.session_token();
  }
  this->CheckAnswer(*aCall, fate, isRun);
  session.isBusy = false;
  --this->inFlight;
  this->Start(session);
  if (this->inFlight == 0) {
    this->idle.notify_all();
  }
}

/** Called under the mutex. */
void LoadRun::CheckAnswer(const Call& aCall, WriteFate aFate, bool aIsRun)
{
  Session& session = *aCall.session;
  SessionLedger& ledger = this->ledgers[session.organisation];
  const auto& rows = aCall.response.rows();
  const std::optional<std::int64_t> balance =
    aIsRun && rows.size() == 1 ? ParseBalance(rows[0]) : std::nullopt;
  switch (aCall.arrival.kind) {
    case Kind::Booking:
      ledger.NoteBooking(aCall.bookingKey, aFate);
      session.booking = aIsRun ? aCall.bookingKey : session.booking;
      return;
    case Kind::Deposit:
      ledger.NoteDeposit(1, aFate);
      session.balance = std::max(session.balance, balance.value_or(0));
      return;
    case Kind::Transaction:
      session.transactions += aFate == WriteFate::Acknowledged ? 1 : 0;
      session.unknownTransactions += aFate == WriteFate::Unknown ? 1 : 0;
      this->result.acknowledgedTransactions += aFate == WriteFate::Acknowledged ? 1 : 0;
      return;
    case Kind::Read:
      break;
  }
  if (!aIsRun) {
    return;
  }
  ++this->result.reads;
  this->result.replicaReads += aCall.response.served_by_replica() ? 1 : 0;
  if (aCall.readsBalance) {
    if (balance.value_or(0) < session.balance) {
      this->Violate("a session read backwards: " + std::to_string(balance.value_or(0)) + " after " +
                    std::to_string(session.balance));
    }
    session.balance = std::max(session.balance, balance.value_or(0));
  } else if (rows.size() != 1 || !aCall.bookingKey.ends_with(rows[0])) {
    this->Violate("a session did not read its own booking " + aCall.bookingKey);
  }
}

void LoadRun::CheckAtEnd()
{
  if (this->options.bookingShare + this->options.depositShare + this->options.transactionShare <=
      0) {
    return;
  }
  for (std::size_t index = 0; index < this->ledgers.size(); ++index) {
    this->CheckOrganisation(index);
    this->result.acknowledgedBookings += this->ledgers[index].AcknowledgedBookings();
    this->result.acknowledgedDeposits += this->ledgers[index].AcknowledgedDeposits();
  }
}

void LoadRun::CheckOrganisation(std::size_t aOrganisation)
{
  // The write's position is behind those of all acknowledged writes, so the reads that follow in
  // its session see them.
  Session reader;
  reader.organisation = aOrganisation;
  reader.number = this->sessions.size() + aOrganisation;
  std::vector<std::string> rows;
  const std::string barrier =
    "barrier/" + this->options.runId + "/" + std::to_string(aOrganisation);
  const bool isReady =
    this->ExecuteNow(reader, "PUT " + barrier + " 1", false, rows) &&
    this->ExecuteNow(reader, "SCAN " + this->BookingPrefixOf(aOrganisation), true, rows);
  if (!isReady) {
    ++this->result.uncheckedOrganisations;
    return;
  }
  std::vector<std::string> found;
  for (const std::string& row : rows) {
    found.push_back(row.substr(0, row.find(' ')));
  }
  for (const std::string& violation : this->ledgers[aOrganisation].CheckBookings(found)) {
    this->Violate(violation);
  }
  if (!this->ExecuteNow(reader, "GET " + this->AccountOf(aOrganisation), true, rows)) {
    ++this->result.uncheckedOrganisations;
    return;
  }
  const auto balance = rows.empty() ? std::nullopt : ParseBalance(rows[0]);
  for (const std::string& violation : this->ledgers[aOrganisation].CheckDeposits(balance)) {
    this->Violate(violation);
  }
  for (const Session* session : this->sessionsByOrganisation[aOrganisation]) {
    if (session->transactions + session->unknownTransactions == 0) {
      continue;
    }
    const std::string prefix =
      "purse/" + this->options.runId + "/" + std::to_string(session->number) + "/";
    if (!this->ExecuteNow(reader, "SCAN " + prefix, true, rows)) {
      ++this->result.uncheckedOrganisations;
      return;
    }
    std::int64_t left = 0;
    std::int64_t right = 0;
    for (const std::string& row : rows) {
      const std::size_t space = row.find(' ');
      (row.starts_with(prefix + "left") ? left : right) =
        ParseBalance(row.substr(space + 1)).value_or(0);
    }
    const auto least = static_cast<std::int64_t>(session->transactions);
    const auto most =
      static_cast<std::int64_t>(session->transactions + session->unknownTransactions);
    if (left + right != 0 || left < least || left > most) {
      this->Violate("transactions of a session ran in part, were lost or doubled: " +
                    std::to_string(left) + " and " + std::to_string(right) + ", acknowledged " +
                    std::to_string(least) + ", at most " + std::to_string(most));
    }
  }
}

/** Runs a statement outside of the load; repeats it a few times. Returns whether it ran. */
bool LoadRun::ExecuteNow(Session& aSession,
                         const std::string& aStatement,
                         bool aIsRead,
                         std::vector<std::string>& aRows)
{
  const LoadedOrganisation& organisation = this->options.organisations[aSession.organisation];
  for (unsigned attempt = 0; attempt < kFinalAttempts; ++attempt) {
    grpc::ClientContext context;
    PrepareCall(context, organisation.key, this->options.requestTimeout);
    caller::v1::ExecuteRequest request;
    request.set_route(organisation.route);
    request.set_session_token(aSession.token);
    request.set_request_id(this->options.runId + "-end-" + std::to_string(aSession.number) + "-" +
                           std::to_string(++aSession.lastRequest));
    request.set_statement(aStatement);
    request.set_read_only(aIsRead);
    request.set_repeatable(true);
    caller::v1::ExecuteResponse response;
    const grpc::Status status = this->channels.Stub(attempt % this->channels.TargetCount(), 0)
                                  .Execute(&context, request, &response);
    if (status.ok() && response.outcome().verdict() == caller::v1::VERDICT_RUN) {
      aSession.token = response.session_token();
      aRows.assign(response.rows().begin(), response.rows().end());
      return true;
    }
    std::this_thread::sleep_for(kFinalPause);
  }
  return false;
}

void LoadRun::Violate(const std::string& aText)
{
  ++this->result.violationCount;
  if (this->result.violations.size() < kShownViolations) {
    this->result.violations.push_back(aText);
  }
}

std::string LoadRun::AccountOf(std::size_t aOrganisation) const
{
  return "account/" + this->options.runId + "/" + std::to_string(aOrganisation);
}

std::string LoadRun::BookingPrefixOf(std::size_t aOrganisation) const
{
  return "booking/" + this->options.runId + "/" + std::to_string(aOrganisation) + "/";
}

} // namespace mustardshift::bench

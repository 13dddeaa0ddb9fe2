#include "standins/database/DatabaseEngine.h"

#include <algorithm>
#include <utility>

namespace mustardshift::standin {

namespace dv1 = database::v1;

namespace {

constexpr int kMaximumBatchEntries = 512;
/** Below the 4 MiB that gRPC accepts, with room for one large entry. */
constexpr std::size_t kMaximumBatchBytes = std::size_t{ 1 } << 20;
/** Below the 4 MiB that gRPC accepts. */
constexpr std::size_t kMaximumAnswerBytes = std::size_t{ 3 } << 20;

} // namespace

DatabaseEngine::DatabaseEngine(const DatabaseOptions& aOptions,
                               std::string aAddress,
                               DeadlineTimer& aTimer,
                               std::function<void()> aRoleChanged)
  : address(std::move(aAddress))
  , lag(aOptions.lag)
  , timer(aTimer)
  , roleChanged(std::move(aRoleChanged))
  , stateFile(aOptions.stateFile)
{
  if (this->Restore()) {
    return;
  }
  if (aOptions.initialPrimary == this->address) {
    this->StartTerm(1);
  } else if (!aOptions.initialPrimary.empty()) {
    this->primary = aOptions.initialPrimary;
    this->followedTerm = 1;
  }
  this->StoreRole();
}

bool DatabaseEngine::Begin(const dv1::Request& aRequest,
                           Transaction& aTransaction,
                           dv1::Answer& aAnswer)
{
  const std::lock_guard lock(this->mutex);
  if (!this->LeadsFor(aRequest.term())) {
    this->Fill(aRequest, dv1::ANSWER_STATUS_WRONG_TERM, aAnswer);
    return false;
  }
  aTransaction = Transaction();
  aTransaction.term = this->ledTerm;
  this->Fill(aRequest, dv1::ANSWER_STATUS_OK, aAnswer);
  return true;
}

void DatabaseEngine::Execute(const dv1::Request& aRequest,
                             Transaction* aTransaction,
                             dv1::Answer& aAnswer)
{
  Lock lock(this->mutex);
  const dv1::Execute& execute = aRequest.execute();
  const auto statement = ParseStatement(
    execute.statement(), { execute.parameters().begin(), execute.parameters().end() });
  if (!statement || (execute.read_only() && !statement->IsRead())) {
    this->Fill(aRequest, dv1::ANSWER_STATUS_INVALID, aAnswer);
    aAnswer.set_message("the statement is malformed or not allowed");
    return;
  }
  const bool replicaMayServe = statement->IsRead() && execute.read_only() && !aTransaction;
  const bool termFits =
    replicaMayServe ? this->AcceptsTerm(aRequest.term()) : this->LeadsFor(aRequest.term());
  if (!termFits || (aTransaction && aTransaction->term != this->ledTerm)) {
    this->Fill(aRequest, dv1::ANSWER_STATUS_WRONG_TERM, aAnswer);
    return;
  }
  if (statement->IsRead()) {
    ++this->counters.reads;
    this->Fill(aRequest, dv1::ANSWER_STATUS_OK, aAnswer);
    this->RunRead(*statement, aTransaction, aAnswer);
    return;
  }
  if (!aTransaction && this->AnswerDuplicate(execute.request_id(), aAnswer)) {
    aAnswer.set_id(aRequest.id());
    return;
  }
  std::map<std::string, std::string> writes;
  std::vector<std::string> rows;
  const dv1::AnswerStatus status =
    this->RunWrite(*statement, aTransaction, aTransaction ? aTransaction->writes : writes, rows);
  if (status == dv1::ANSWER_STATUS_OK && !aTransaction) {
    this->AppendOwn(execute.request_id(), writes, rows);
  }
  this->Fill(aRequest, status, aAnswer);
  if (status == dv1::ANSWER_STATUS_OK) {
    aAnswer.mutable_rows()->Assign(rows.begin(), rows.end());
  }
  this->Notify(lock);
}

void DatabaseEngine::Commit(const dv1::Request& aRequest,
                            const Transaction& aTransaction,
                            dv1::Answer& aAnswer)
{
  Lock lock(this->mutex);
  if (!this->LeadsFor(aRequest.term()) || aTransaction.term != this->ledTerm) {
    this->Fill(aRequest, dv1::ANSWER_STATUS_WRONG_TERM, aAnswer);
    return;
  }
  if (this->AnswerDuplicate(aRequest.commit().request_id(), aAnswer)) {
    aAnswer.set_id(aRequest.id());
    return;
  }
  if (this->HasConflict(aTransaction)) {
    this->Fill(aRequest, dv1::ANSWER_STATUS_CONFLICT, aAnswer);
    return;
  }
  if (!aTransaction.writes.empty()) {
    this->AppendOwn(aRequest.commit().request_id(), aTransaction.writes, {});
  }
  this->Fill(aRequest, dv1::ANSWER_STATUS_OK, aAnswer);
  this->Notify(lock);
}

void DatabaseEngine::FillAnswer(const dv1::Request& aRequest,
                                dv1::AnswerStatus aStatus,
                                dv1::Answer& aAnswer)
{
  const std::lock_guard lock(this->mutex);
  this->Fill(aRequest, aStatus, aAnswer);
}

void DatabaseEngine::Wait(const dv1::Request& aRequest, AnswerCallback aCallback)
{
  dv1::Answer answer;
  {
    const std::lock_guard lock(this->mutex);
    const auto status = this->StatusOf(aRequest);
    if (!status) {
      const std::uint64_t id = ++this->lastWaiter;
      Waiter& waiter = this->waiters[id];
      waiter.request = aRequest;
      waiter.callback = std::move(aCallback);
      waiter.ticket = this->timer.Schedule(std::chrono::milliseconds(aRequest.wait().timeout_ms()),
                                           [this, id] { this->WaitTimedOut(id); });
      return;
    }
    this->Fill(aRequest, *status, answer);
  }
  aCallback(std::move(answer));
}

dv1::ServerReport DatabaseEngine::Report()
{
  const std::lock_guard lock(this->mutex);
  return this->MakeReport(true);
}

dv1::ServerReport DatabaseEngine::AcceptTerm(std::uint64_t aTerm)
{
  Lock lock(this->mutex);
  if (aTerm < this->acceptedTerm) {
    return this->MakeReport(false);
  }
  const bool higher = aTerm > this->acceptedTerm;
  this->acceptedTerm = aTerm;
  if (higher && !this->faults.ignoreTerms) {
    this->LoseRole();
  }
  this->StoreRole();
  dv1::ServerReport report = this->MakeReport(true);
  this->Notify(lock, higher);
  return report;
}

dv1::ServerReport DatabaseEngine::Promote(std::uint64_t aTerm)
{
  Lock lock(this->mutex);
  const bool followsInTerm = !this->primary.empty() && this->followedTerm == aTerm;
  if (aTerm < this->acceptedTerm || followsInTerm) {
    return this->MakeReport(false);
  }
  if (this->leads && this->ledTerm == aTerm) {
    return this->MakeReport(true);
  }
  this->acceptedTerm = aTerm;
  this->LoseRole();
  this->StartTerm(aTerm);
  this->StoreRole();
  dv1::ServerReport report = this->MakeReport(true);
  this->Notify(lock, true);
  return report;
}

dv1::ServerReport DatabaseEngine::Follow(std::uint64_t aTerm, const std::string& aPrimary)
{
  Lock lock(this->mutex);
  const bool leadsInTerm = this->leads && this->ledTerm == aTerm;
  if (aTerm < this->acceptedTerm || leadsInTerm || aPrimary == this->address) {
    return this->MakeReport(false);
  }
  if (this->followedTerm == aTerm && this->primary == aPrimary) {
    return this->MakeReport(true);
  }
  this->acceptedTerm = aTerm;
  this->LoseRole();
  this->followedTerm = aTerm;
  this->primary = aPrimary;
  this->StoreRole();
  dv1::ServerReport report = this->MakeReport(true);
  this->Notify(lock, true);
  return report;
}

dv1::LookUpRequestResponse DatabaseEngine::LookUpRequest(const std::string& aRequestId)
{
  const std::lock_guard lock(this->mutex);
  dv1::LookUpRequestResponse response;
  response.set_accepted_term(this->acceptedTerm);
  response.set_leads(this->leads);
  const auto found = this->requests.find(aRequestId);
  if (aRequestId.empty() || found == this->requests.end()) {
    return response;
  }
  const dv1::LogEntry& entry = this->log[found->second - 1];
  response.set_found(true);
  response.mutable_position()->set_term(entry.term());
  response.mutable_position()->set_offset(found->second);
  *response.mutable_rows() = entry.rows();
  return response;
}

void DatabaseEngine::Replicate(const dv1::ReplicateRequest& aRequest, ReplicateCallback aCallback)
{
  std::optional<dv1::ReplicateResponse> response;
  bool stepsDown = false;
  {
    Lock lock(this->mutex);
    if (!this->faults.cutOff) {
      // A replica of a higher term is how a primary that was cut off hears of that term.
      stepsDown = aRequest.term() > this->acceptedTerm && !this->faults.ignoreTerms;
      if (stepsDown) {
        this->acceptedTerm = aRequest.term();
        this->LoseRole();
        this->StoreRole();
      }
      response = this->MakeReplicateResponse(aRequest);
      const bool nothingNew =
        response->accepted() && !response->truncate() && response->entries_size() == 0;
      if (nothingNew) {
        const std::uint64_t id = ++this->lastWaiter;
        ParkedReplica& replica = this->parked[id];
        replica.request = aRequest;
        replica.callback = std::move(aCallback);
        replica.ticket =
          this->timer.Schedule(kReplicationWait, [this, id] { this->ParkTimedOut(id); });
        return;
      }
    }
    if (stepsDown) {
      this->Notify(lock, true);
    }
  }
  aCallback(std::move(response));
}

std::optional<DatabaseEngine::Pull> DatabaseEngine::NextPull()
{
  const std::lock_guard lock(this->mutex);
  if (this->primary.empty() || this->faults.cutOff || this->faults.holdReplication) {
    return std::nullopt;
  }
  Pull pull;
  pull.generation = this->generation;
  pull.primary = this->primary;
  pull.request.set_term(this->followedTerm);
  pull.request.set_after_offset(this->log.size() + this->pending.size());
  pull.request.set_after_term(this->pending.empty() ? this->TermAt(this->log.size())
                                                    : this->pending.back().entry.term());
  pull.request.set_replica_address(this->address);
  return pull;
}

void DatabaseEngine::TakeEntries(const Pull& aPull, const dv1::ReplicateResponse& aResponse)
{
  Lock lock(this->mutex);
  const std::uint64_t end = this->log.size() + this->pending.size();
  if (aPull.generation != this->generation || aPull.request.after_offset() != end ||
      this->faults.cutOff || this->faults.holdReplication || !aResponse.accepted()) {
    return;
  }
  if (aResponse.truncate()) {
    this->pending.clear();
    this->CutLog(std::min<std::uint64_t>(aResponse.truncate_to(), this->log.size()));
    this->Notify(lock);
    return;
  }
  const bool immediate = this->lag.count() == 0 && this->pending.empty();
  for (const dv1::LogEntry& entry : aResponse.entries()) {
    if (immediate) {
      this->Append(entry);
    } else {
      this->pending.push_back(PendingEntry{ Clock::now() + this->lag, entry });
    }
  }
  if (!immediate && aResponse.entries_size() > 0) {
    this->timer.Schedule(this->lag, [this] { this->ApplyDue(); });
  }
  this->Notify(lock);
}

void DatabaseEngine::SetFaults(Faults aFaults)
{
  Lock lock(this->mutex);
  const bool stopsIgnoring = this->faults.ignoreTerms && !aFaults.ignoreTerms;
  this->faults = aFaults;
  const std::uint64_t ownTerm = this->leads ? this->ledTerm : this->followedTerm;
  if (stopsIgnoring && ownTerm < this->acceptedTerm) {
    this->LoseRole();
    this->StoreRole();
  }
  lock.unlock();
  this->ApplyDue();
  lock.lock();
  this->Notify(lock, true);
}

DatabaseEngine::Counters DatabaseEngine::ReadCounters()
{
  const std::lock_guard lock(this->mutex);
  Counters result = this->counters;
  result.logLength = this->log.size();
  return result;
}

std::uint64_t DatabaseEngine::TermAt(std::uint64_t aOffset) const
{
  return aOffset == 0 ? 0 : this->log[aOffset - 1].term();
}

dv1::Position DatabaseEngine::EndPosition() const
{
  dv1::Position position;
  position.set_term(this->TermAt(this->log.size()));
  position.set_offset(this->log.size());
  return position;
}

dv1::ServerReport DatabaseEngine::MakeReport(bool aAccepted) const
{
  dv1::ServerReport report;
  report.set_accepted_term(this->acceptedTerm);
  *report.mutable_position() = this->EndPosition();
  report.set_leads(this->leads);
  report.set_accepted(aAccepted);
  report.mutable_history()->Assign(this->history.begin(), this->history.end());
  return report;
}

void DatabaseEngine::Fill(const dv1::Request& aRequest,
                          dv1::AnswerStatus aStatus,
                          dv1::Answer& aAnswer)
{
  aAnswer.set_id(aRequest.id());
  aAnswer.set_status(aStatus);
  aAnswer.set_accepted_term(this->acceptedTerm);
  *aAnswer.mutable_position() = this->EndPosition();
  if (aStatus == dv1::ANSWER_STATUS_WRONG_TERM) {
    ++this->counters.wrongTerms;
  } else if (aStatus == dv1::ANSWER_STATUS_CONFLICT) {
    ++this->counters.conflicts;
  }
}

bool DatabaseEngine::AcceptsTerm(std::uint64_t aTerm) const
{
  return this->faults.ignoreTerms || aTerm == this->acceptedTerm;
}

bool DatabaseEngine::LeadsFor(std::uint64_t aTerm) const
{
  return this->leads && this->AcceptsTerm(aTerm);
}

bool DatabaseEngine::AnswerDuplicate(const std::string& aRequestId, dv1::Answer& aAnswer)
{
  if (aRequestId.empty()) {
    return false;
  }
  const auto found = this->requests.find(aRequestId);
  if (found == this->requests.end()) {
    return false;
  }
  const dv1::LogEntry& entry = this->log[found->second - 1];
  ++this->counters.duplicates;
  aAnswer.set_status(dv1::ANSWER_STATUS_OK);
  aAnswer.set_accepted_term(this->acceptedTerm);
  aAnswer.mutable_position()->set_term(entry.term());
  aAnswer.mutable_position()->set_offset(found->second);
  *aAnswer.mutable_rows() = entry.rows();
  aAnswer.set_duplicate(true);
  return true;
}

std::optional<std::string> DatabaseEngine::Value(const std::string& aKey, Transaction* aTransaction)
{
  if (aTransaction) {
    const auto version = this->versions.find(aKey);
    aTransaction->usedKeys.emplace(aKey, version == this->versions.end() ? 0 : version->second);
    const auto written = aTransaction->writes.find(aKey);
    if (written != aTransaction->writes.end()) {
      return written->second;
    }
  }
  const auto found = this->data.find(aKey);
  return found == this->data.end() ? std::nullopt : std::optional(found->second);
}

void DatabaseEngine::RunRead(const Statement& aStatement,
                             Transaction* aTransaction,
                             dv1::Answer& aAnswer)
{
  if (aStatement.kind == Statement::Kind::Get) {
    if (const auto value = this->Value(aStatement.key, aTransaction)) {
      aAnswer.add_rows(*value);
    }
    return;
  }
  std::map<std::string, std::string> rows;
  const auto collect = [&](const std::map<std::string, std::string>& aSource) {
    for (auto row = aSource.lower_bound(aStatement.key);
         row != aSource.end() && row->first.starts_with(aStatement.key);
         ++row) {
      rows[row->first] = row->second;
    }
  };
  collect(this->data);
  if (aTransaction) {
    aTransaction->scannedPrefixes.emplace(aStatement.key, this->log.size());
    collect(aTransaction->writes);
  }
  std::size_t bytes = 0;
  for (const auto& [key, value] : rows) {
    bytes += key.size() + value.size() + 8;
    if (bytes > kMaximumAnswerBytes) {
      aAnswer.clear_rows();
      aAnswer.set_status(dv1::ANSWER_STATUS_INVALID);
      aAnswer.set_message("the result is too long");
      return;
    }
    std::string& row = *aAnswer.add_rows();
    row.reserve(key.size() + value.size() + 1);
    row.append(key).append(" ").append(value);
  }
}

dv1::AnswerStatus DatabaseEngine::RunWrite(const Statement& aStatement,
                                           Transaction* aTransaction,
                                           std::map<std::string, std::string>& aWrites,
                                           std::vector<std::string>& aRows)
{
  const auto present = this->Value(aStatement.key, aTransaction);
  switch (aStatement.kind) {
    case Statement::Kind::Insert:
      if (present) {
        return dv1::ANSWER_STATUS_CONFLICT;
      }
      aWrites[aStatement.key] = aStatement.value;
      return dv1::ANSWER_STATUS_OK;
    case Statement::Kind::Add: {
      const auto number = present ? ParseNumber(*present) : std::optional<std::int64_t>(0);
      std::int64_t sum = 0;
      if (!number || __builtin_add_overflow(*number, aStatement.number, &sum)) {
        return dv1::ANSWER_STATUS_INVALID;
      }
      aWrites[aStatement.key] = std::to_string(sum);
      aRows.push_back(std::to_string(sum));
      return dv1::ANSWER_STATUS_OK;
    }
    default:
      aWrites[aStatement.key] = aStatement.value;
      return dv1::ANSWER_STATUS_OK;
  }
}

bool DatabaseEngine::HasConflict(const Transaction& aTransaction) const
{
  for (const auto& [key, version] : aTransaction.usedKeys) {
    const auto found = this->versions.find(key);
    if ((found == this->versions.end() ? 0 : found->second) != version) {
      return true;
    }
  }
  for (const auto& [prefix, offset] : aTransaction.scannedPrefixes) {
    for (auto key = this->versions.lower_bound(prefix);
         key != this->versions.end() && key->first.starts_with(prefix);
         ++key) {
      if (key->second > offset) {
        return true;
      }
    }
  }
  return false;
}

void DatabaseEngine::AppendOwn(const std::string& aRequestId,
                               const std::map<std::string, std::string>& aWrites,
                               const std::vector<std::string>& aRows)
{
  dv1::LogEntry entry;
  entry.set_term(this->ledTerm);
  entry.set_request_id(aRequestId);
  for (const auto& [key, value] : aWrites) {
    entry.add_statements(EncodeLogWrite(key, value));
  }
  entry.mutable_rows()->Assign(aRows.begin(), aRows.end());
  ++this->counters.writes;
  this->Append(std::move(entry));
}

void DatabaseEngine::Append(dv1::LogEntry aEntry)
{
  if (!this->restoring) {
    v1::StateRecord record;
    record.set_entry(aEntry.SerializeAsString());
    this->stateFile.Append(record);
  }
  const std::uint64_t offset = this->log.size() + 1;
  if (this->history.empty() || this->history.back().term() < aEntry.term()) {
    dv1::TermStart start;
    start.set_term(aEntry.term());
    start.set_first_offset(offset);
    this->history.push_back(start);
  }
  for (const std::string& statement : aEntry.statements()) {
    std::string key;
    std::string value;
    if (DecodeLogWrite(statement, key, value)) {
      this->versions[key] = offset;
      this->data[std::move(key)] = std::move(value);
    }
  }
  if (!aEntry.request_id().empty()) {
    this->requests[aEntry.request_id()] = offset;
  }
  this->log.push_back(std::move(aEntry));
}

void DatabaseEngine::CutLog(std::uint64_t aLength)
{
  if (aLength >= this->log.size()) {
    return;
  }
  this->counters.cutLogEntries += this->log.size() - aLength;
  if (!this->restoring) {
    v1::StateRecord record;
    record.set_cut_to(aLength);
    this->stateFile.Append(record);
  }
  // The entries hold no earlier values, so the data is built anew from the remaining log.
  std::vector<dv1::LogEntry> kept(
    std::make_move_iterator(this->log.begin()),
    std::make_move_iterator(this->log.begin() + static_cast<std::ptrdiff_t>(aLength)));
  this->log.clear();
  this->history.clear();
  this->data.clear();
  this->versions.clear();
  this->requests.clear();
  const bool wasRestoring = std::exchange(this->restoring, true);
  for (dv1::LogEntry& entry : kept) {
    this->Append(std::move(entry));
  }
  this->restoring = wasRestoring;
}

void DatabaseEngine::StartTerm(std::uint64_t aTerm)
{
  this->leads = true;
  this->ledTerm = aTerm;
  dv1::LogEntry start;
  start.set_term(aTerm);
  this->Append(std::move(start));
}

bool DatabaseEngine::Restore()
{
  const auto records = this->stateFile.TakeRecords();
  this->restoring = true;
  for (const v1::StateRecord& record : records) {
    dv1::LogEntry entry;
    if (record.has_role()) {
      this->acceptedTerm = record.role().accepted_term();
      this->leads = record.role().leads();
      this->ledTerm = record.role().led_term();
      this->primary = record.role().primary();
      this->followedTerm = record.role().followed_term();
    } else if (record.change_case() == v1::StateRecord::kCutTo) {
      this->CutLog(record.cut_to());
    } else if (entry.ParseFromString(record.entry())) {
      this->Append(std::move(entry));
    }
  }
  this->restoring = false;
  return !records.empty();
}

void DatabaseEngine::StoreRole()
{
  v1::StateRecord record;
  v1::RoleRecord& role = *record.mutable_role();
  role.set_accepted_term(this->acceptedTerm);
  role.set_leads(this->leads);
  role.set_led_term(this->ledTerm);
  role.set_primary(this->primary);
  role.set_followed_term(this->followedTerm);
  this->stateFile.Append(record);
}

void DatabaseEngine::LoseRole()
{
  this->leads = false;
  this->ledTerm = 0;
  this->primary.clear();
  this->followedTerm = 0;
  // What has not become visible yet was never reported, and belongs to an ended term.
  this->pending.clear();
  ++this->generation;
}

std::optional<dv1::AnswerStatus> DatabaseEngine::StatusOf(const dv1::Request& aWait) const
{
  if (!this->AcceptsTerm(aWait.term())) {
    return dv1::ANSWER_STATUS_WRONG_TERM;
  }
  const dv1::Position& position = aWait.wait().position();
  if (position.offset() > this->log.size()) {
    return std::nullopt;
  }
  // An entry of another term at this offset means that the position was cut off, or is still to be.
  if (position.offset() > 0 && this->TermAt(position.offset()) != position.term()) {
    return std::nullopt;
  }
  return dv1::ANSWER_STATUS_OK;
}

dv1::ReplicateResponse DatabaseEngine::MakeReplicateResponse(
  const dv1::ReplicateRequest& aRequest) const
{
  dv1::ReplicateResponse response;
  response.set_accepted_term(this->acceptedTerm);
  const bool termFits = this->faults.ignoreTerms || aRequest.term() == this->acceptedTerm;
  if (!this->leads || !termFits) {
    return response;
  }
  response.set_accepted(true);
  const std::uint64_t after = aRequest.after_offset();
  if (after > this->log.size() || this->TermAt(after) != aRequest.after_term()) {
    // The last entry that may be common: none of a later term than the replica's last one.
    std::uint64_t common = std::min<std::uint64_t>(after, this->log.size());
    while (common > 0 && this->TermAt(common) > aRequest.after_term()) {
      --common;
    }
    response.set_truncate(true);
    response.set_truncate_to(std::min(common, after - 1));
    return response;
  }
  if (this->faults.holdReplication) {
    return response;
  }
  std::size_t bytes = 0;
  for (std::uint64_t offset = after; offset < this->log.size(); ++offset) {
    const dv1::LogEntry& entry = this->log[offset];
    bytes += entry.ByteSizeLong();
    if (response.entries_size() > 0 &&
        (bytes > kMaximumBatchBytes || response.entries_size() == kMaximumBatchEntries)) {
      break;
    }
    *response.add_entries() = entry;
  }
  return response;
}

void DatabaseEngine::ApplyDue()
{
  Lock lock(this->mutex);
  if (this->faults.holdReplication) {
    return;
  }
  const Clock::time_point now = Clock::now();
  while (!this->pending.empty() && this->pending.front().due <= now) {
    this->Append(std::move(this->pending.front().entry));
    this->pending.pop_front();
  }
  this->Notify(lock);
}

void DatabaseEngine::WaitTimedOut(std::uint64_t aId)
{
  AnswerCallback callback;
  dv1::Answer answer;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->waiters.find(aId);
    if (found == this->waiters.end()) {
      return;
    }
    callback = std::move(found->second.callback);
    this->Fill(found->second.request, dv1::ANSWER_STATUS_BEHIND, answer);
    this->waiters.erase(found);
  }
  callback(std::move(answer));
}

void DatabaseEngine::ParkTimedOut(std::uint64_t aId)
{
  ReplicateCallback callback;
  std::optional<dv1::ReplicateResponse> response;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->parked.find(aId);
    if (found == this->parked.end()) {
      return;
    }
    callback = std::move(found->second.callback);
    if (!this->faults.cutOff) {
      response = this->MakeReplicateResponse(found->second.request);
    }
    this->parked.erase(found);
  }
  callback(std::move(response));
}

void DatabaseEngine::Notify(Lock& aLock, bool aRoleChanged)
{
  std::vector<std::function<void()>> calls;
  for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
    const auto status = this->StatusOf(waiter->second.request);
    if (!status) {
      ++waiter;
      continue;
    }
    dv1::Answer answer;
    this->Fill(waiter->second.request, *status, answer);
    this->timer.Cancel(waiter->second.ticket);
    calls.emplace_back([callback = std::move(waiter->second.callback), answer = std::move(answer)] {
      callback(answer);
    });
    waiter = this->waiters.erase(waiter);
  }
  for (auto replica = this->parked.begin(); replica != this->parked.end();) {
    std::optional<dv1::ReplicateResponse> response;
    if (!this->faults.cutOff) {
      response = this->MakeReplicateResponse(replica->second.request);
      if (response->accepted() && !response->truncate() && response->entries_size() == 0) {
        ++replica;
        continue;
      }
    }
    this->timer.Cancel(replica->second.ticket);
    calls.emplace_back([callback = std::move(replica->second.callback),
                        response = std::move(response)] { callback(response); });
    replica = this->parked.erase(replica);
  }
  aLock.unlock();
  for (const auto& call : calls) {
    call();
  }
  if (aRoleChanged) {
    this->roleChanged();
  }
}

} // namespace mustardshift::standin

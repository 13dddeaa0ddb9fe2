#pragma once

#include "core/base/Fault.h"
#include "core/base/RequestKind.h"
#include "core/base/RequestStep.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/StatementResult.h"

#include <cstdint>
#include <memory>

namespace mustardshift {

/** Runs one write outside of transactions on the primary, and acknowledges it once a majority of
    the database's servers holds it.

    Thread safety: the request loop's thread only. */
class WriteExecutor : public std::enable_shared_from_this<WriteExecutor>
{
public:
  WriteExecutor(EventLoop& aLoop,
                std::shared_ptr<DatabaseDispatcher> aDispatcher,
                CallerRequest aRequest,
                OrganisationName aOrganisation,
                StatementCallback aCallback);

  /** Starts the write. Precondition: called once. */
  void Start(Instant aNow) { this->Attempt(aNow); }

private:
  void Attempt(Instant aNow);
  void RetryLater(Instant aNow, RequestStep aStep, Fault aFault);
  void OnConnection(Instant aNow, const std::shared_ptr<ConnectionLease>& aLease);
  void OnAnswer(Instant aNow, Instant aSentAt, const Outcome<database::v1::Answer>& aAnswer);
  void OnRequestFailed(Instant aNow, const Refusal& aRefusal);
  void Acknowledge(Instant aNow, Instant aSentAt, const StatementResult& aResult);
  void ResolveOutcome(Instant aNow);
  void Refuse(Instant aNow, RequestStep aStep, Fault aFault);

  EventLoop& loop;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
  CallerRequest request;
  OrganisationName organisation;
  StatementCallback callback;
  RequestKind kind;
  std::uint64_t sentTerm = 0;
};

} // namespace mustardshift

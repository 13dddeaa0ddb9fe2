#pragma once

#include "core/base/Fault.h"
#include "core/base/RequestKind.h"
#include "core/base/RequestStep.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/FlowResult.h"

#include <cstdint>
#include <memory>

namespace mustardshift {

/** Runs one write outside of transactions at the primary, and acknowledges it once a majority of
    the group holds it.

    Thread safety: the request loop's thread only. */
class WriteFlow : public std::enable_shared_from_this<WriteFlow>
{
public:
  WriteFlow(EventLoop& aLoop,
            std::shared_ptr<DatabaseDispatcher> aDispatcher,
            CallerRequest aRequest,
            OrganisationName aOrganisation,
            FlowCallback aCallback);

  /** Starts the write. Precondition: called once. */
  void Start(Instant aNow) { this->Attempt(aNow); }

private:
  void Attempt(Instant aNow);
  void AttemptLater(Instant aNow, RequestStep aStep, Fault aFault);
  void OnConnection(Instant aNow, const std::shared_ptr<ConnectionLease>& aLease);
  void OnAnswer(Instant aNow, Instant aSentAt, const Outcome<database::v1::Answer>& aAnswer);
  void OnNoAnswer(Instant aNow, const Refusal& aRefusal);
  void Acknowledge(Instant aNow, Instant aSentAt, const FlowResult& aResult);
  void LookUp(Instant aNow);
  void Refuse(Instant aNow, RequestStep aStep, Fault aFault);

  EventLoop& loop;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
  CallerRequest request;
  OrganisationName organisation;
  FlowCallback callback;
  RequestKind kind;
  std::uint64_t sentTerm = 0;
};

} // namespace mustardshift

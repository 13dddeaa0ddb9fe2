#pragma once

#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/StatementResult.h"

#include <cstdint>
#include <memory>

namespace mustardshift {

/** Finds out what became of a write whose answer was lost, by asking the primary's log for its
    request id. The write is never sent again.

    The outcome is the write's result once it is found and on a majority; NotRun when a primary of a
    later term lacks it and an entry of that term is on a majority, since no later log can hold the
    write then; MayHaveRun when neither is known by the deadline.

    Thread safety: the request loop's thread only. */
class LostAnswerResolver : public std::enable_shared_from_this<LostAnswerResolver>
{
public:
  /** @param aSentTerm  highest term under which the write was sent. */
  LostAnswerResolver(EventLoop& aLoop,
                     std::shared_ptr<DatabaseDispatcher> aDispatcher,
                     RequestId aRequest,
                     std::uint64_t aSentTerm,
                     Instant aDeadline,
                     StatementCallback aCallback);

  /** Starts to ask. Precondition: called once. */
  void Start(Instant aNow) { this->LookUp(aNow); }

private:
  void LookUp(Instant aNow);
  void LookUpLater(Instant aNow);
  /** Gives the result once a majority holds an entry of the primary's present term, and with it the
      primary's log up to there. While those entries are on the primary alone, a further promotion
      may still choose a server with another log. */
  void ConfirmLog(Instant aNow, std::uint64_t aTerm, const Outcome<StatementResult>& aResult);
  void OnResponse(Instant aNow, const Outcome<database::v1::LookUpRequestResponse>& aResponse);

  EventLoop& loop;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
  RequestId request;
  std::uint64_t sentTerm;
  Instant deadline;
  StatementCallback callback;
};

} // namespace mustardshift

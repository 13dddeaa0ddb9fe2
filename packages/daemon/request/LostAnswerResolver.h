#pragma once

#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/StatementResult.h"

#include <cstdint>
#include <memory>

namespace mustardshift {

/** Resolves the outcome of a write whose answer was lost, by looking up its request id in the
    primary's log. The write is never sent again.

    The outcome is
    - the write's result, once the log holds the write and a majority holds the log;
    - NotRun, if the log of a primary of a later term lacks the write and a majority holds an entry
      of that term, since no later primary's log can hold the write then;
    - MayHaveRun, if neither is known by the deadline.

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

  /** Starts the look-up. Precondition: called once. */
  void Start(Instant aNow) { this->LookUp(aNow); }

private:
  void LookUp(Instant aNow);
  void LookUpLater(Instant aNow);
  /** Calls back with aResult once a majority holds an entry of the primary's present term, and so
      the primary's log up to that entry. While only the primary holds such entries, a further
      promotion may still choose a server with a different log. */
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

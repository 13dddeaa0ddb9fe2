#pragma once

#include "daemon/request/DatabaseDispatcher.h"
#include "daemon/request/FlowResult.h"

#include <cstdint>
#include <memory>

namespace mustardshift {

/** Finds out what became of a write whose answer was lost, by asking the primary's log for its
    request id. The write is never sent again.

    The outcome is the write's result once it is found and on a majority; NotRun when a primary of a
    later term lacks it and an entry of that term is on a majority, since neither that log nor any
    later one can hold it any more; MayHaveRun
    when neither is known by the deadline.

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
                     FlowCallback aCallback);

  /** Starts to ask. Precondition: called once. */
  void Start(Instant aNow) { this->Ask(aNow); }

private:
  void Ask(Instant aNow);
  void AskLater(Instant aNow);
  void OnResponse(Instant aNow,
                  std::uint64_t aAskedTerm,
                  const Outcome<database::v1::LookUpRequestResponse>& aResponse);

  EventLoop& loop;
  std::shared_ptr<DatabaseDispatcher> dispatcher;
  RequestId request;
  std::uint64_t sentTerm;
  Instant deadline;
  FlowCallback callback;
};

} // namespace mustardshift

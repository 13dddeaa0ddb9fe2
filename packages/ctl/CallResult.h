#pragma once

#include <string>

namespace mustardshift {

/** How far a call to an operator service came. */
enum class CallState
{
  /** A VM answered; the response is set. */
  Answered,
  /** A VM refused the call itself; it has not run. */
  Refused,
  /** No VM was reached; the call has not run. */
  NotReached,
  /** A VM was reached, but no answer came until the timeout; the call may have run. */
  Lost,
};

/** Result of a call. */
template<class Response>
struct CallResult
{
  CallState state = CallState::NotReached;
  /** True when an attempt before this result got no answer, so that a refusal of the last attempt
      doesn't show that nothing has run. */
  bool earlierAnswerLost = false;
  /** Address of the VM that the result came from; empty when none was reached. */
  std::string vm;
  Response response;
  /** What went wrong; empty when a VM answered. */
  std::string message;
};

} // namespace mustardshift

#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Steps of the handling of a request on a VM, in the order in which they take place. */
enum class RequestStep
{
  Parse,
  Authenticate,
  Admit,
  Queue,
  Connect,
  /** Starts when the first byte of the request may have been sent to the server. */
  Send,
  AwaitAnswer,
  /** The server has answered, but it is not yet known whether a majority of the servers holds the
      log position of the answer. */
  Acknowledge,
  Reply,
};

inline constexpr std::array<std::pair<RequestStep, std::string_view>, 9> kRequestStepNames{ {
  { RequestStep::Parse, "parse" },
  { RequestStep::Authenticate, "authenticate" },
  { RequestStep::Admit, "admit" },
  { RequestStep::Queue, "queue" },
  { RequestStep::Connect, "connect" },
  { RequestStep::Send, "send" },
  { RequestStep::AwaitAnswer, "await-answer" },
  { RequestStep::Acknowledge, "acknowledge" },
  { RequestStep::Reply, "reply" },
} };

} // namespace mustardshift

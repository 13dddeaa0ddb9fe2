#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Steps that a request passes on a VM, in this order. */
enum class RequestStep
{
  Parse,
  Authenticate,
  Admit,
  Queue,
  Connect,
  /** From the moment when the first byte may have left for the server. */
  Send,
  AwaitAnswer,
  /** The server has answered, and its position is not yet known to be on a majority. */
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

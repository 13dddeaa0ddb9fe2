#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** A limit that clients, other VMs or database servers can reach. */
enum class LimitKind
{
  /** Memory of the process. */
  Memory,
  /** Connections of clients. */
  Connections,
  /** Time until a client sends START. */
  StartTime,
  /** Rate and time of a line that has begun. */
  LineTime,
  /** Rate and time at which an answer is taken. */
  AnswerTime,
  /** Size of a line, a limit of the protocol. */
  LineSize,
  /** Size of the rows of one result. */
  ResultSize,
  /** Size of the session variables and prepared statements of one session. */
  SessionState,
  /** Connections to one of the HTTP ports. */
  HttpConnections,
  /** Time of a request to one of the HTTP ports, or of taking its answer. */
  HttpTime,
  /** Size of a request to one of the HTTP ports. */
  HttpSize,
  /** VMs that are attached to this member. */
  AttachedVms,
};

inline constexpr std::array<std::pair<LimitKind, std::string_view>, 12> kLimitKindNames{ {
  { LimitKind::Memory, "memory" },
  { LimitKind::Connections, "connections" },
  { LimitKind::StartTime, "start-time" },
  { LimitKind::LineTime, "line-time" },
  { LimitKind::AnswerTime, "answer-time" },
  { LimitKind::LineSize, "line-size" },
  { LimitKind::ResultSize, "result-size" },
  { LimitKind::SessionState, "session-state" },
  { LimitKind::HttpConnections, "http-connections" },
  { LimitKind::HttpTime, "http-time" },
  { LimitKind::HttpSize, "http-size" },
  { LimitKind::AttachedVms, "attached-vms" },
} };

} // namespace mustardshift::proxy

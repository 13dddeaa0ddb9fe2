#pragma once

#include "proxy/statement/AccessKind.h"
#include "proxy/statement/StatementKind.h"

#include <string>

namespace mustardshift::proxy {

/** One parsed statement of a client. */
struct Statement
{
  StatementKind kind = StatementKind::Read;
  /** The statement as the client sent it; reads, writes and commits are forwarded unchanged. */
  std::string text;
  /** Name of a prepared statement or of a session variable. */
  std::string name;
  /** Prepare only. */
  AccessKind access = AccessKind::Read;
  /** Statement text (Prepare), value (SetVariable) or arguments (Execute). */
  std::string body;
};

} // namespace mustardshift::proxy

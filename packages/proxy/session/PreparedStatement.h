#pragma once

#include "proxy/statement/AccessKind.h"

#include <string>

namespace mustardshift::proxy {

/** A statement that a session has prepared. */
struct PreparedStatement
{
  AccessKind access = AccessKind::Read;
  std::string text;

  /** Name of the prepared statement on server connections. Sessions that prepare the same text
      share it, whatever names their clients chose. */
  std::string ServerSideName() const
  {
    return (this->access == AccessKind::Read ? "r_" : "w_") + this->text;
  }
};

} // namespace mustardshift::proxy

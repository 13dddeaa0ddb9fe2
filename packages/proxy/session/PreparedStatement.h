#pragma once

#include "proxy/statement/AccessKind.h"

#include <string>

namespace mustardshift::proxy {

/** A statement that a session has prepared. */
struct PreparedStatement
{
  AccessKind access = AccessKind::Read;
  std::string text;

  /** Name under which connections hold it. Sessions that prepare the same text share it, whatever
      names they chose. */
  std::string ServerSideName() const
  {
    return (this->access == AccessKind::Read ? "r_" : "w_") + this->text;
  }
};

} // namespace mustardshift::proxy

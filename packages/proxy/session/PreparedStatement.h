#pragma once

#include "proxy/statement/AccessKind.h"

#include <string>

namespace mustardshift::proxy {

/** A statement that a session has prepared. */
struct PreparedStatement
{
  AccessKind access = AccessKind::Read;
  std::string text;
  /** Name of the prepared statement on server connections, one word whatever the text is. Sessions
      that prepare the same text share it, whatever names their clients chose. */
  std::string serverSideName;
};

/** Makes a prepared statement with the name that belongs to its access and text.
    Thread safety: pure. */
PreparedStatement MakePreparedStatement(AccessKind aAccess, std::string aText);

} // namespace mustardshift::proxy

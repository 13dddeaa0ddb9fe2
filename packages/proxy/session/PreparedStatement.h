#pragma once

#include "proxy/statement/AccessKind.h"

#include <string>

namespace mustardshift::proxy {

/** A statement that a session has prepared. */
struct PreparedStatement
{
  AccessKind access = AccessKind::Read;
  std::string shape;

  /** Name under which connections hold it. Sessions that prepare the same shape share it, whatever
      names they chose. */
  std::string SharedName() const
  {
    return (this->access == AccessKind::Read ? "r_" : "w_") + this->shape;
  }
};

} // namespace mustardshift::proxy

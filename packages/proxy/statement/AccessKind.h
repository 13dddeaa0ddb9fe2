#pragma once

namespace mustardshift::proxy {

/** Whether a prepared statement reads or writes. */
enum class AccessKind
{
  Read,
  Write,
};

} // namespace mustardshift::proxy

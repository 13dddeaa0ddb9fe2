#pragma once

namespace mustardshift {

/** Whether a request starts new work or continues an open transaction. A VM or database that is
    being drained refuses new work and lets open transactions finish. */
enum class WorkKind
{
  New,
  Continued,
};

} // namespace mustardshift

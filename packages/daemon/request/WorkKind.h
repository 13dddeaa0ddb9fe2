#pragma once

namespace mustardshift {

/** Whether a request starts something, or continues an open transaction. Draining turns new work
    away and lets open work finish. */
enum class WorkKind
{
  New,
  Continued,
};

} // namespace mustardshift

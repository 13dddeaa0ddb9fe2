#pragma once

namespace mustardshift {

/** Servers of a database that a probe asks. */
enum class ProbeScope
{
  PrimaryOnly,
  AllServers,
};

} // namespace mustardshift

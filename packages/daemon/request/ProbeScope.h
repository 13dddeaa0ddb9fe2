#pragma once

namespace mustardshift {

/** The servers of a database to which a probe is sent. */
enum class ProbeScope
{
  PrimaryOnly,
  AllServers,
};

} // namespace mustardshift

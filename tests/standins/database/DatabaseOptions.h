#pragma once

#include "core/base/Instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift::standin {

/** Settings of one database server's stand-in. */
struct DatabaseOptions
{
  /** "IP:port"; port 0 takes a free one. */
  std::string listen = "127.0.0.1:0";
  /** Address under which the other servers know this one; empty for the one it listens on. */
  std::string address;
  /** Addresses of the other servers of the group. */
  std::vector<std::string> peers;
  /** Address of the server that leads term 1. */
  std::string initialPrimary;
  /** Time from the arrival of a log entry on a replica until the replica holds it. */
  Duration lag = Duration(0);
  /** Statements that are executed at a time. */
  std::uint32_t slots = 3;
  std::uint32_t connectionLimit = 20;
  /** Time to open a connection. */
  Duration connectionCost = Duration(0);
  /** Time for which a statement holds its slot. */
  Duration statementTime = Duration(200);
  /** File that keeps log, terms and role across a kill and restart; empty for none. */
  std::string stateFile;
};

} // namespace mustardshift::standin

#pragma once

#include "standins/database/DatabaseOptions.h"

#include <memory>
#include <string>

namespace mustardshift::standin {

/** One database server's stand-in, with its test control on the same address. It runs until it is
    destroyed, and keeps everything in memory, or also in a state file.

    Statements: see ParseStatement. GET returns one row or none, SCAN rows of the form "key value",
    ADD the new number. Frames of one connection run in order, except WaitForPosition. */
class DatabaseServer
{
public:
  /** Returns nothing when the address can't be used. */
  static std::unique_ptr<DatabaseServer> Start(const DatabaseOptions& aOptions);

  ~DatabaseServer();
  DatabaseServer(const DatabaseServer&) = delete;
  DatabaseServer& operator=(const DatabaseServer&) = delete;

  /** "IP:port" on which it listens. */
  const std::string& Address() const;

private:
  struct Implementation;

  explicit DatabaseServer(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation;
};

} // namespace mustardshift::standin

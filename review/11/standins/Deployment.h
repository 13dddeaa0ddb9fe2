#pragma once

#include "../../6/standins/Daemon.h"
#include "../../6/standins/Loop.h"
#include "../../6/standins/Platform.h"
#include "../../6/standins/Record.h"
#include "Database.h"

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace review {

/** A small deployment like kigali: daemons and one service of three servers in zones of their own,
    and the platform's stand-in. Everything listens on loopback addresses. */
class Deployment
{
public:
  struct Settings
  {
    std::size_t daemons = 6;
    std::size_t memoryMb = 260;
    Database::Settings database;
    /** The whole configuration, as PROTOCOL.md describes it. */
    std::string configuration;
  };

  Deployment(Loop& aLoop, Record& aRecord, const Settings& aSettings);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  Platform& Store() { return this->platform; }
  Database& Service() { return this->database; }
  std::vector<std::unique_ptr<Daemon>>& Daemons() { return this->daemons; }
  Daemon& At(std::size_t aIndex) { return *this->daemons[aIndex % this->daemons.size()]; }

  /** Starts the daemons and waits until all are ready. Returns false if one is not in time. */
  bool Start();

  /** Sends GET /v1/ready as the platform does. Returns whether the answer 200 came in time. */
  bool IsReady(const Daemon& aDaemon, Milliseconds aLongest);

private:
  Loop& loop;
  Record& record;
  std::string folder;
  Platform platform;
  Database database;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

/** A configuration with one service and one tenant with the key "office-key". The databases are
    "bookings" (primary), "notes" (session) and "hours" (bounded and public). */
std::string MakeConfiguration(unsigned aSyncReplicas);

} // namespace review

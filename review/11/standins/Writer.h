#pragma once

#include "../../6/standins/Client.h"
#include "../../6/standins/Loop.h"
#include "../../6/standins/Record.h"
#include "Deployment.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review {

/** A client that writes one item after the other on the database "bookings". It notes which writes
    were acknowledged. After a close it connects to the next of its machines. */
class Writer : public std::enable_shared_from_this<Writer>
{
public:
  struct Acknowledged
  {
    std::string text;
    long at = 0;
  };

  /** @param aMachines  machines that it connects to, in turn. */
  Writer(Loop& aLoop, Record& aRecord, std::vector<const Daemon*> aMachines, std::size_t aNumber)
    : loop(aLoop)
    , record(aRecord)
    , machines(std::move(aMachines))
    , number(aNumber)
  {
  }

  void Connect();
  void Stop() { this->hasStopped = true; }
  const std::map<std::string, Acknowledged>& Acknowledgements() const { return this->acknowledged; }

private:
  void WriteNext();
  void OnAnswer(const std::string& aRequest, const std::string& aText, const Answer& aAnswer);

  Loop& loop;
  Record& record;
  std::vector<const Daemon*> machines;
  std::size_t number;
  std::size_t connects = 0;
  std::size_t writes = 0;
  std::shared_ptr<Client> client;
  std::map<std::string, Acknowledged> acknowledged;
  bool hasStopped = false;
};

/** Counts the acknowledged writes that a log lacks, and records each. */
std::size_t CountMissing(Record& aRecord,
                         const std::vector<std::shared_ptr<Writer>>& aWriters,
                         const std::vector<LogEntry>& aLog);

} // namespace review

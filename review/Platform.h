#pragma once

#include "Record.h"
#include "Socket.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace review {

/** The platform's store and its call POST /promote, as PROTOCOL.md describes them.

    Thread safety: all methods may be called by any thread. */
class Platform
{
public:
  /** Executes an accepted order; returns whether the named server runs. */
  using Promote = std::function<bool(const std::string& aService, const std::string& aServer)>;

  explicit Platform(Record& aRecord);
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  void Start(Promote aPromote);
  const std::string& Address() const { return this->listener.Address(); }

  /** Writes a row with an empty part; the store has acknowledged it when this returns. */
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
  };
  struct Response
  {
    int status = 200;
    std::string body;
  };
  struct Request
  {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
  };

  void Serve(Socket& aSocket);
  static bool ReadRequest(Socket& aSocket, Request& aRequest);
  Response Answer(const Request& aRequest);
  Response Get(const Request& aRequest);
  Response Feed(const Request& aRequest);
  Response Transact(const Request& aRequest);
  Response Order(const Request& aRequest);

  Record& record;
  Listener listener;
  Promote promote;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::uint64_t version = 1;
  std::map<std::string, std::uint64_t> highestFences;
};

} // namespace review

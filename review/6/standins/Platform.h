#pragma once

#include "Loop.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace review {

/** An order to promote a server. */
struct PromoteCall
{
  std::string service;
  std::string server;
  std::string holder;
  std::uint64_t fence = 0;
};

/** Stand-in of the platform: the metadata store with tables, and the calls that are duties. Both
    speak HTTP/1.1 on one loopback address, as PROTOCOL.md says. */
class Platform
{
public:
  /** Answers a call; a call that is never answered keeps its connection. */
  using Answer = std::function<void(unsigned, const std::string&)>;
  using PromoteHandler = std::function<void(const PromoteCall&, const Answer&)>;

  explicit Platform(Loop& aLoop);

  /** "IP:port". */
  const std::string& Address() const { return this->address; }

  /** Writes a row, as the operator or a server does. */
  void Put(const std::string& aTable, const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

  /** Called for each POST /promote that the fence lets through. */
  PromoteHandler onPromote;

  /** Whether a call with this fence may be carried out now; notes the fence. */
  bool PassesFence(const PromoteCall& aCall);

private:
  struct Connection;
  struct Row
  {
    std::string value;
    std::uint64_t version = 0;
    bool isRemoved = false;
  };
  struct Waiter
  {
    std::string table;
    std::uint64_t after = 0;
    Answer answer;
    std::uint64_t id = 0;
  };
  using Query = std::map<std::string, std::string>;

  void Accept();
  void Handle(const std::string& aTarget,
              const std::string& aBody,
              const std::map<std::string, std::string>& aHeaders,
              const Answer& aAnswer);
  void HandleGet(const Query& aQuery, const Answer& aAnswer);
  void HandleFeed(const Query& aQuery, const Answer& aAnswer);
  void HandleWrite(const std::string& aBody, const Answer& aAnswer);
  void HandlePromote(const std::string& aBody,
                     const std::map<std::string, std::string>& aHeaders,
                     const Answer& aAnswer);
  std::string Changes(const std::string& aTable, std::uint64_t aAfter, bool& aIsEmpty) const;
  void WakeWaiters();

  Loop& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  std::string address;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::uint64_t version = 0;
  std::uint64_t lastWaiter = 0;
  std::vector<Waiter> waiters;
  std::map<std::string, std::uint64_t> highestFence;
};

} // namespace review

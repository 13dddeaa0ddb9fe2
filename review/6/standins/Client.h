#pragma once

#include "LineSocket.h"
#include "Loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/** The answer to a statement. */
struct Answer
{
  /** "DONE", "ERROR", or "CLOSED" if the connection ended before the answer. */
  std::string kind;
  /** Signature, or the code of the error and its text. */
  std::string text;
  std::vector<std::string> rows;
  std::string state;
};

/** One session of a client. */
class Client : public std::enable_shared_from_this<Client>
{
public:
  using StartHandler = std::function<void(bool)>;
  using AnswerHandler = std::function<void(const Answer&)>;

  explicit Client(Loop& aLoop)
    : loop(aLoop)
  {
  }

  /** Connects and sends START; the handler gets whether the session is ready. */
  void Start(const std::string& aIp,
             unsigned short aPort,
             const std::string& aDatabase,
             const std::string& aKey,
             StartHandler aOnStarted);

  /** Sends a statement. Precondition: the session is ready and no statement is running. */
  void Query(const std::string& aRequest, const std::string& aText, AnswerHandler aOnAnswer);

  void Close();
  bool IsOpen() const { return this->socket != nullptr && this->socket->IsOpen(); }

private:
  void OnLine(const std::string& aLine);
  void OnClosed();

  Loop& loop;
  std::shared_ptr<LineSocket> socket;
  StartHandler onStarted;
  AnswerHandler onAnswer;
  Answer answer;
};

} // namespace review

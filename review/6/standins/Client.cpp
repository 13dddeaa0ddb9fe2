#include "Client.h"

#include <utility>

namespace review {

using boost::asio::ip::tcp;

void Client::Start(const std::string& aIp,
                   unsigned short aPort,
                   const std::string& aDatabase,
                   const std::string& aKey,
                   StartHandler aOnStarted)
{
  this->onStarted = std::move(aOnStarted);
  auto connecting = std::make_shared<tcp::socket>(this->loop.Io());
  const std::string start =
    "START " + aDatabase + (aKey.empty() ? std::string() : " " + aKey) + "\r\n";
  connecting->async_connect(
    tcp::endpoint(boost::asio::ip::make_address(aIp), aPort),
    [self = this->shared_from_this(), connecting, start](const boost::system::error_code& aError) {
      if (aError) {
        self->OnClosed();
        return;
      }
      self->socket = std::make_shared<LineSocket>(std::move(*connecting));
      self->socket->Start([self](const std::string& aLine) { self->OnLine(aLine); },
                          [self] { self->OnClosed(); });
      self->socket->Send(start);
    });
}

void Client::Query(const std::string& aRequest, const std::string& aText, AnswerHandler aOnAnswer)
{
  this->onAnswer = std::move(aOnAnswer);
  this->answer = {};
  this->socket->Send("QUERY " + aRequest + " " + aText + "\r\n");
}

void Client::Close()
{
  this->onAnswer = nullptr;
  this->onStarted = nullptr;
  if (this->socket != nullptr) {
    this->socket->Close();
  }
}

void Client::OnLine(const std::string& aLine)
{
  std::string rest = aLine;
  const std::string word = TakeWord(rest);
  if (this->onStarted) {
    std::exchange(this->onStarted, nullptr)(word == "READY");
  } else if (word == "ROW") {
    this->answer.rows.push_back(rest);
  } else if (word == "DONE" || word == "ERROR") {
    this->answer.kind = word;
    this->answer.text = rest;
  } else if (word == "READY" && this->onAnswer) {
    this->answer.state = TakeWord(rest);
    const Answer complete = std::exchange(this->answer, {});
    std::exchange(this->onAnswer, nullptr)(complete);
  }
}

void Client::OnClosed()
{
  if (this->onStarted) {
    std::exchange(this->onStarted, nullptr)(false);
  } else if (this->onAnswer) {
    std::exchange(this->onAnswer, nullptr)({ "CLOSED", "", {}, "" });
  }
}

} // namespace review

#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace review {

/** One TCP connection that carries lines which end at CR LF. */
class LineSocket : public std::enable_shared_from_this<LineSocket>
{
public:
  using LineHandler = std::function<void(const std::string&)>;
  using CloseHandler = std::function<void()>;

  explicit LineSocket(boost::asio::ip::tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  void Start(LineHandler aOnLine, CloseHandler aOnClosed);
  void Send(const std::string& aText);
  void Close();
  bool IsOpen() const { return !this->isClosed; }

  /** While held, the connection is as if cut off: nothing is read and nothing is written. */
  void SetHeld(bool aIsHeld);

private:
  void Read();
  void Write();
  void DeliverLines();
  void Fail();

  boost::asio::ip::tcp::socket socket;
  LineHandler onLine;
  CloseHandler onClosed;
  std::array<char, 65536> buffer{};
  std::string input;
  std::string output;
  std::string writing;
  bool isReading = false;
  bool isWriting = false;
  bool isHeld = false;
  bool isClosed = false;
};

/** Splits off the first word of a line. */
std::string TakeWord(std::string& aRest);

} // namespace review

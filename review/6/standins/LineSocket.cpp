#include "LineSocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace review {

void LineSocket::Start(LineHandler aOnLine, CloseHandler aOnClosed)
{
  this->onLine = std::move(aOnLine);
  this->onClosed = std::move(aOnClosed);
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  this->Read();
}

void LineSocket::Send(const std::string& aText)
{
  if (!this->isClosed) {
    this->output += aText;
    this->Write();
  }
}

void LineSocket::Close()
{
  if (std::exchange(this->isClosed, true)) {
    return;
  }
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void LineSocket::SetHeld(bool aIsHeld)
{
  this->isHeld = aIsHeld;
  if (!aIsHeld && !this->isClosed) {
    this->DeliverLines();
    this->Read();
    this->Write();
  }
}

void LineSocket::Read()
{
  if (this->isReading || this->isHeld || this->isClosed) {
    return;
  }
  this->isReading = true;
  this->socket.async_read_some(
    boost::asio::buffer(this->buffer),
    [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t aCount) {
      self->isReading = false;
      if (self->isClosed) {
        return;
      }
      if (aError) {
        self->Fail();
        return;
      }
      self->input.append(self->buffer.data(), aCount);
      self->DeliverLines();
      self->Read();
    });
}

void LineSocket::DeliverLines()
{
  const auto keepAlive = this->shared_from_this();
  std::size_t begin = 0;
  while (!this->isHeld && !this->isClosed) {
    const std::size_t end = this->input.find("\r\n", begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string line = this->input.substr(begin, end - begin);
    begin = end + 2;
    this->onLine(line);
  }
  this->input.erase(0, begin);
}

void LineSocket::Write()
{
  if (this->isWriting || this->isHeld || this->isClosed || this->output.empty()) {
    return;
  }
  this->isWriting = true;
  this->writing = std::exchange(this->output, {});
  boost::asio::async_write(
    this->socket,
    boost::asio::buffer(this->writing),
    [self = this->shared_from_this()](const boost::system::error_code& aError, std::size_t) {
      self->isWriting = false;
      if (self->isClosed) {
        return;
      }
      if (aError) {
        self->Fail();
        return;
      }
      self->Write();
    });
}

void LineSocket::Fail()
{
  this->Close();
  if (const CloseHandler closed = std::exchange(this->onClosed, nullptr)) {
    closed();
  }
}

std::string TakeWord(std::string& aRest)
{
  const std::size_t end = std::min(aRest.find(' '), aRest.size());
  std::string word = aRest.substr(0, end);
  aRest.erase(0, std::min(end + 1, aRest.size()));
  return word;
}

} // namespace review

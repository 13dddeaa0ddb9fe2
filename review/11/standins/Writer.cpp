#include "Writer.h"

#include <set>
#include <utility>

namespace review {

namespace {

constexpr Milliseconds kBetweenWrites(25);
constexpr Milliseconds kBeforeReconnect(200);

} // namespace

void Writer::Connect()
{
  this->client = std::make_shared<Client>(this->loop);
  const Daemon& daemon = *this->machines[(this->number + this->connects++) % this->machines.size()];
  this->client->Start(daemon.Ip(),
                      daemon.FrontPort(),
                      "bookings",
                      "office-key",
                      [self = this->shared_from_this()](bool aIsReady) {
                        if (aIsReady) {
                          self->WriteNext();
                        } else {
                          self->loop.After(kBeforeReconnect, [self] { self->Connect(); });
                        }
                      });
}

void Writer::WriteNext()
{
  if (this->hasStopped) {
    this->client->Close();
    return;
  }
  const std::string name = std::to_string(this->number) + "x" + std::to_string(++this->writes);
  const std::string request = "c" + name;
  const std::string text = "slot" + name + " client" + std::to_string(this->number);
  this->record.Write("send " + request + " WRITE " + text);
  this->client->Query(request,
                      "WRITE " + text,
                      [self = this->shared_from_this(), request, text](const Answer& aAnswer) {
                        self->OnAnswer(request, text, aAnswer);
                      });
}

void Writer::OnAnswer(const std::string& aRequest, const std::string& aText, const Answer& aAnswer)
{
  this->record.Write("answer " + aRequest + " " + aAnswer.kind + " " + aAnswer.text);
  if (aAnswer.kind == "DONE" && aAnswer.text != "-") {
    this->acknowledged[aRequest] = { aText, this->loop.Now() };
  }
  const bool isClosed = aAnswer.kind == "CLOSED";
  this->loop.After(kBetweenWrites, [self = this->shared_from_this(), isClosed] {
    if (isClosed) {
      self->Connect();
    } else {
      self->WriteNext();
    }
  });
}

std::size_t CountMissing(Record& aRecord,
                         const std::vector<std::shared_ptr<Writer>>& aWriters,
                         const std::vector<LogEntry>& aLog)
{
  std::set<std::string> held;
  for (const LogEntry& entry : aLog) {
    for (const auto& [request, text] : entry.writes) {
      held.insert(request);
    }
  }
  std::size_t missing = 0;
  for (const auto& writer : aWriters) {
    for (const auto& [request, write] : writer->Acknowledgements()) {
      if (!held.contains(request)) {
        ++missing;
        aRecord.Write("LOST " + request + " (" + write.text + "), acknowledged at " +
                      std::to_string(write.at) + ", is not in the log of the promoted server");
      }
    }
  }
  return missing;
}

} // namespace review

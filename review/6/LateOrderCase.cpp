#include "Client.h"
#include "Deployment.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** A primary is silent for a moment, the order to promote a replica gets no answer and is carried
    out seconds later, when the primary serves again. Checks that the log of the promoted server
    holds each commit that a client got acknowledged before. */

namespace {

using namespace review;

constexpr std::size_t kClients = 12;
constexpr Milliseconds kBetweenWrites(25);
/** How long the primary is silent; srv_crash allows 7 s. */
constexpr Milliseconds kDark(2000);
/** How late the order to promote is carried out; applied_late allows 2 to 12 s. */
constexpr Milliseconds kLatePromote(3100);
/** How late the RESUME of one replica is carried out. */
constexpr Milliseconds kLateResume(4000);

struct Acknowledged
{
  std::string text;
  long at = 0;
};

/** A client that writes one item after the other. */
class Writer : public std::enable_shared_from_this<Writer>
{
public:
  Writer(Loop& aLoop, Record& aRecord, Deployment& aDeployment, std::size_t aNumber)
    : loop(aLoop)
    , record(aRecord)
    , deployment(aDeployment)
    , number(aNumber)
  {
  }

  void Connect()
  {
    this->client = std::make_shared<Client>(this->loop);
    Daemon& daemon = this->deployment.At(this->number + this->connects++);
    this->client->Start(daemon.Ip(),
                        daemon.FrontPort(),
                        "bookings",
                        "office-key",
                        [self = this->shared_from_this()](bool aIsReady) {
                          if (aIsReady) {
                            self->WriteNext();
                          } else {
                            self->loop.After(Milliseconds(200), [self] { self->Connect(); });
                          }
                        });
  }

  void Stop() { this->hasStopped = true; }
  const std::map<std::string, Acknowledged>& Acknowledgements() const { return this->acknowledged; }

private:
  void WriteNext()
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

  void OnAnswer(const std::string& aRequest, const std::string& aText, const Answer& aAnswer)
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

  Loop& loop;
  Record& record;
  Deployment& deployment;
  std::size_t number;
  std::size_t connects = 0;
  std::size_t writes = 0;
  std::shared_ptr<Client> client;
  std::map<std::string, Acknowledged> acknowledged;
  bool hasStopped = false;
};

/** Counts the acknowledged writes that a log lacks. */
std::size_t CountMissing(Record& aRecord,
                         const std::vector<std::shared_ptr<Writer>>& aWriters,
                         const std::vector<LogEntry>& aLog)
{
  std::map<std::string, bool> held;
  for (const LogEntry& entry : aLog) {
    for (const auto& [request, text] : entry.writes) {
      held[request] = true;
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

} // namespace

int main(int aCount, char** aArguments)
{
  Loop loop;
  Record record(loop, aCount > 1 ? aArguments[1] : "record.txt");
  Deployment::Settings settings;
  settings.database.service = "huvo11a";
  settings.database.syncReplicas = 1;
  settings.configuration = MakeConfiguration(1);
  Deployment deployment(loop, record, settings);
  Database& service = deployment.Service();
  Server& primary = service.Add("i-aa", "kigali-a", "127.0.72.1");
  Server& first = service.Add("i-bb", "kigali-b", "127.0.72.2");
  service.Add("i-cc", "kigali-c", "127.0.72.3");
  const bool hasTrouble = HasTrouble();
  bool isFirstOrder = true;
  bool isFirstResume = true;
  std::size_t promotions = 0;
  std::size_t missing = 0;
  std::vector<std::shared_ptr<Writer>> writers;

  deployment.Store().onPromote = [&](const PromoteCall& aCall, const Platform::Answer& aAnswer) {
    record.Write("order promote " + aCall.server + " by " + aCall.holder + " fence " +
                 std::to_string(aCall.fence));
    if (hasTrouble && std::exchange(isFirstOrder, false)) {
      record.Write("the order gets no answer");
      // The answer is kept, so that the connection stays open and silent.
      loop.After(kLatePromote, [&, aCall, aAnswer] {
        const bool passes = deployment.Store().PassesFence(aCall);
        record.Write(std::string("the late order is ") +
                     (passes ? "carried out" : "refused: fence"));
        if (passes) {
          service.Promote(aCall.server);
        }
      });
      return;
    }
    const bool passes = deployment.Store().PassesFence(aCall);
    if (passes) {
      service.Promote(aCall.server);
    }
    aAnswer(passes ? 200 : 409, passes ? "{}" : "");
  };
  first.lateOrder = [&](const std::string& aOrder) -> std::optional<Milliseconds> {
    if (hasTrouble && !isFirstOrder && aOrder == "RESUME" && std::exchange(isFirstResume, false)) {
      return kLateResume;
    }
    return std::nullopt;
  };
  service.onPromoted = [&](const Server& aServer) {
    ++promotions;
    missing += CountMissing(record, writers, aServer.Log());
  };

  if (!deployment.Start()) {
    return 2;
  }
  for (std::size_t number = 0; number < kClients; ++number) {
    writers.push_back(std::make_shared<Writer>(loop, record, deployment, number));
    writers.back()->Connect();
  }
  loop.RunFor(Milliseconds(5000));
  if (hasTrouble) {
    primary.SetDark(true);
    loop.RunFor(kDark);
    primary.SetDark(false);
  }
  loop.RunFor(Milliseconds(10'000));
  std::size_t acknowledged = 0;
  for (const auto& writer : writers) {
    writer->Stop();
    acknowledged += writer->Acknowledgements().size();
  }
  loop.RunFor(Milliseconds(1000));
  const std::string result = std::to_string(acknowledged) + " writes acknowledged, " +
                             std::to_string(promotions) + " promotions, " +
                             std::to_string(missing) + " acknowledged writes lost by them";
  record.Write(result);
  std::cout << result << std::endl;
  if (acknowledged == 0 || (hasTrouble && promotions == 0)) {
    return 2;
  }
  return missing == 0 ? 0 : 1;
}

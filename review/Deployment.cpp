#include "Deployment.h"

#include <filesystem>
#include <fstream>
#include <span>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr milliseconds kStartTimeout{ 25'000 };
constexpr milliseconds kPollPause{ 50 };
constexpr milliseconds kOpenTimeout{ 2'000 };

template<typename Condition>
bool WaitUntil(Condition aCondition)
{
  const auto until = Clock::now() + kStartTimeout;
  while (!aCondition()) {
    if (Clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

} // namespace

std::optional<Arguments> ParseArguments(int aCount, char** aTexts)
{
  const std::span texts(aTexts, static_cast<std::size_t>(aCount));
  if (texts.size() != 4) {
    return std::nullopt;
  }
  return Arguments{ texts[1], texts[2], std::string(texts[3]) != "0" };
}

Deployment::Deployment(const Arguments& aArguments)
  : record(aArguments.record)
  , platform(this->record)
  , folder(aArguments.folder)
{
  this->record.Write(aArguments.hasTrouble ? "run with the disruption"
                                           : "run without the disruption");
}

void Deployment::AddVm(const std::string& aName, const std::string& aZone)
{
  Vm vm;
  vm.name = aName;
  vm.zone = aZone;
  vm.sessions = "127.0.0.1:" + std::to_string(FreePort());
  vm.readiness = "127.0.0.1:" + std::to_string(FreePort());
  this->vms.push_back(vm);
}

bool Deployment::StartVms()
{
  for (const Vm& vm : this->vms) {
    // A script for sed that fills in the placeholders of the settings template.
    std::ofstream file(this->folder + "/" + vm.name + ".sed");
    file << "s|{{node_name}}|" << vm.name << "|\n"
         << "s|{{zone}}|" << vm.zone << "|\n"
         << "s|{{#zones}}.*{{/zones}}|kigali-a,kigali-b,kigali-c,kigali-d|\n"
         << "s|{{limits.cpu_share}}|0.25|\n"
         << "s|{{listen.front}}|" << vm.sessions << "|\n"
         << "s|{{listen.readiness}}|" << vm.readiness << "|\n"
         << "s|{{ip}}|127.0.0.1|\n"
         << "s|{{port_range.0}}|" << FreePort() << "|\n"
         << "s|{{port_range.1}}|" << FreePort() << "|\n"
         << "s|{{platform.address}}|" << this->platform.Address() << "|\n"
         << "s|{{cloud.address}}|" << this->platform.Address() << "|\n"
         << "s|{{bounds.revoke_ms}}|5000|\n"
         << "s|{{bounds.evacuate_ms}}|5000|\n"
         << "s|{{bounds.grace_s}}|6|\n"
         << "s|{{bounds.quota_window_s}}|5|\n"
         << "s|{{bounds.quota_overshoot}}|0.1|\n"
         << "s|{{bounds.quota_slack}}|20|\n";
  }
  std::ofstream(this->folder + "/settings-written") << "\n";
  if (!WaitUntil([&] { return std::filesystem::exists(this->folder + "/processes-started"); })) {
    this->record.Write("the processes were not started");
    return false;
  }
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    Vm& vm = this->vms[index];
    vm.process = this->ProcessOf(index);
    if (!WaitUntil([&] { return AskReadiness(vm.readiness) == 200; })) {
      this->record.Write(vm.name + " is not ready in time");
      return false;
    }
    this->record.Write(vm.name + " is ready, process " + std::to_string(vm.process));
  }
  return true;
}

int RunCase(int aCount, char** aTexts, int (*aRun)(const Arguments&, Deployment&))
{
  const auto arguments = ParseArguments(aCount, aTexts);
  if (!arguments) {
    return kCouldNotRun;
  }
  ::_exit(aRun(*arguments, *new Deployment(*arguments)));
}

pid_t Deployment::ProcessOf(std::size_t aVm) const
{
  pid_t process = 0;
  std::ifstream(this->folder + "/" + this->vms[aVm].name + ".pid") >> process;
  return process;
}

std::string Describe(const Reply& aReply)
{
  std::string text;
  for (const std::string& row : aReply.rows) {
    text += "ROW " + row + " | ";
  }
  switch (aReply.kind) {
    case Reply::Kind::Done:
      return text + "DONE " + aReply.text + " | READY " + aReply.state;
    case Reply::Kind::Error:
      return text + "ERROR " + aReply.text + " | READY " + aReply.state;
    case Reply::Kind::Closed:
      return text + "connection ended without a complete answer";
    case Reply::Kind::Timeout:
      return text + "no complete answer in time";
  }
  return text;
}

Client::Client(Record& aRecord, std::string aName)
  : record(aRecord)
  , name(std::move(aName))
{
}

bool Client::Open(const std::string& aAddress,
                  const std::string& aDatabase,
                  const std::string& aKey)
{
  this->socket = Socket::Connect(aAddress);
  if (this->socket != nullptr && this->socket->Send("START " + aDatabase + " " + aKey + "\r\n")) {
    const auto answer = this->socket->ReadLine(kOpenTimeout);
    if (answer && answer->starts_with("READY ")) {
      return true;
    }
    this->record.Write("client " + this->name + ": START " + aDatabase + " at " + aAddress +
                       " -> " + answer.value_or("no answer"));
  }
  this->socket.reset();
  return false;
}

Reply Client::Query(const std::string& aRequestId, const std::string& aText, milliseconds aTimeout)
{
  Reply reply;
  reply.sentAt = Clock::now();
  bool hasOutcome = false;
  if (this->socket->Send("QUERY " + aRequestId + " " + aText + "\r\n")) {
    while (true) {
      const auto line = this->socket->ReadLine(aTimeout);
      if (!line) {
        reply.kind = this->socket->HasTimedOut() ? Reply::Kind::Timeout : Reply::Kind::Closed;
        break;
      }
      if (line->starts_with("ROW ")) {
        reply.rows.push_back(line->substr(4));
      } else if (line->starts_with("DONE ")) {
        reply.kind = Reply::Kind::Done;
        reply.text = line->substr(5);
        hasOutcome = true;
      } else if (line->starts_with("ERROR ")) {
        reply.kind = Reply::Kind::Error;
        reply.text = line->substr(6);
        hasOutcome = true;
      } else if (line->starts_with("READY ") && hasOutcome) {
        reply.state = line->at(6);
        break;
      }
    }
  }
  reply.endedAt = Clock::now();
  if (reply.kind == Reply::Kind::Closed || reply.kind == Reply::Kind::Timeout) {
    this->socket.reset();
  }
  this->record.Write("client " + this->name + ": sent at " +
                     std::to_string(this->record.Milliseconds(reply.sentAt)) + " QUERY " +
                     aRequestId + " " + aText + " -> " + Describe(reply));
  return reply;
}

std::optional<std::string> Client::UnexpectedLine(milliseconds aTimeout)
{
  return this->socket == nullptr ? std::nullopt : this->socket->ReadLine(aTimeout);
}

void Client::Close()
{
  if (this->socket != nullptr) {
    this->socket->Send("TERMINATE\r\n");
    this->socket.reset();
  }
}

} // namespace review

#pragma once

#include "Database.h"
#include "Platform.h"
#include "Record.h"
#include "Socket.h"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** Exit codes of a case. */
enum ExitCode
{
  kRuleHeld = 0,
  kRuleBroken = 1,
  kCouldNotRun = 2,
};

/** Arguments of a case: FOLDER RECORD TROUBLE. The folder is a temporary one, through which the
    case and the script that starts the daemons exchange files. */
struct Arguments
{
  std::string folder;
  std::string record;
  /** False for the run without the disruption. */
  bool hasTrouble = true;
};

std::optional<Arguments> ParseArguments(int aCount, char** aTexts);

/** One process of the system under test. */
struct Vm
{
  std::string name;
  std::string zone;
  std::string sessions;
  std::string readiness;
  pid_t process = 0;
};

/** A small deployment: the platform, and VMs whose processes the case's script starts.

    Thread safety: none, except that the members may be used as their own types allow. */
class Deployment
{
public:
  explicit Deployment(const Arguments& aArguments);

  /** Adds a VM on free loopback ports. */
  void AddVm(const std::string& aName, const std::string& aZone);
  /** Hands the settings of the VMs to the script, which starts the processes. Waits until each VM
      is ready. Returns false if that takes too long. */
  bool StartVms();

  /** The process that now runs for a VM; another one after each restart. */
  pid_t ProcessOf(std::size_t aVm) const;

  Record record;
  Platform platform;
  std::vector<Vm> vms;

private:
  std::string folder;
};

/** Runs a case and ends the process with the exit code that aRun returns. The objects of the
    stand-ins are never destroyed, because their threads use them until the process ends. */
int RunCase(int aCount, char** aTexts, int (*aRun)(const Arguments&, Deployment&));

/** The answer to one message of a client. */
struct Reply
{
  enum class Kind
  {
    Done,
    Error,
    /** The connection ended without a complete answer. */
    Closed,
    /** No complete answer came in time. */
    Timeout,
  };
  Kind kind = Kind::Closed;
  /** Signature, or code and text of the error. */
  std::string text;
  std::vector<std::string> rows;
  /** State in the READY line. */
  char state = '-';
  Clock::time_point sentAt;
  Clock::time_point endedAt;
};

std::string Describe(const Reply& aReply);

/** A client's session. Thread safety: none. */
class Client
{
public:
  Client(Record& aRecord, std::string aName);

  /** Connects and sends START. Returns whether READY came. */
  bool Open(const std::string& aAddress, const std::string& aDatabase, const std::string& aKey);
  /** Sends one QUERY and waits for its answer. */
  Reply Query(const std::string& aRequestId, const std::string& aText, milliseconds aTimeout);
  /** Returns the next line that came without a request, if any comes in this time. */
  std::optional<std::string> UnexpectedLine(milliseconds aTimeout);
  bool IsOpen() const { return this->socket != nullptr; }
  void Close();

private:
  Record& record;
  std::string name;
  std::shared_ptr<Socket> socket;
};

} // namespace review

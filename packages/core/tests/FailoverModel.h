#pragma once

#include "core/failover/AcknowledgementRule.h"
#include "core/failover/FailoverStateMachine.h"
#include "core/failover/SuspicionTracker.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::test {

/** A defect in the implementation of the simulated VMs, to verify that the checks detect it. */
enum class Defect
{
  None,
  /** Acknowledges writes by comparing offsets only, without terms. */
  AcknowledgeWithoutTerm,
  /** Chooses any fenced server as primary instead of the one with the highest position. */
  IgnorePositions,
  /** Treats a failed compare-and-set as successful. */
  TreatConflictAsSuccess,
  /** Assumes that all peers share its own suspicion. */
  SkipPeerAgreement,
  /** Never completes a promotion in a group that another VM has fenced. */
  IgnoreFencedGroup,
};

struct FailoverModelOptions
{
  std::uint64_t seed = 1;
  std::size_t vms = 6;
  Defect defect = Defect::None;
  /** If false, servers continue to execute writes and to replicate in old terms. */
  bool serversRefuseOldTerms = true;
  /** Probability that an action is dropped or delayed, or that the VM is killed or paused at it. */
  double actionFaultProbability = 0;
  /** Probability that a message is lost or delayed. */
  double messageFaultProbability = 0.01;
  /** Range of the one-way network latency between any two nodes. */
  Duration shortestLatency{ 500 };
  Duration longestLatency{ 2'000 };
};

/** Durations of the consecutive steps of one promotion, starting at the fault. */
struct PromotionTimes
{
  Duration detect{ 0 };
  Duration decide{ 0 };
  Duration fence{ 0 };
  Duration record{ 0 };
  Duration promote{ 0 };
  Duration learn{ 0 };
  Duration total{ 0 };
};

/** Simulates three database servers, the platform's row and a number of VMs in four failure
    domains, in virtual time. Checks during the run that each term has one primary, that each
    acknowledged write is in the logs of a majority of the servers and in the log of each later
    primary, and that no VM fences a known primary unless VMs of two failure domains suspect it. */
class FailoverModel
{
public:
  explicit FailoverModel(const FailoverModelOptions& aOptions);

  void RunUntil(Duration aTime);
  Duration Now() const { return this->now; }

  // Nodes are numbered: VMs first, then the servers, then the platform.
  std::size_t ServerNode(std::size_t aServer) const { return this->options.vms + aServer; }
  std::size_t PlatformNode() const { return this->options.vms + kServers; }
  std::size_t DomainOf(std::size_t aNode) const;
  std::size_t PrimaryServer() const;

  void Kill(std::size_t aNode);
  void Restart(std::size_t aNode);
  void Pause(std::size_t aNode);
  void Resume(std::size_t aNode);
  /** Interrupts or restores the connection between two nodes. */
  void SetPartitioned(std::size_t aLeft, std::size_t aRight, bool aPartitioned);
  /** Interrupts or restores the connections of a node to all other nodes. */
  void SetIsolated(std::size_t aNode, bool aIsolated);
  /** Interrupts or restores the connections of a failure domain to the other ones and, with
      aWithPlatform, to the platform. */
  void SetDomainPartitioned(std::size_t aDomain, bool aWithPlatform, bool aPartitioned);
  /** Injects one random fault, which is repaired after a random time. */
  void InjectRandomFault();
  /** Makes one server accept the next term, as if a VM had died right after asking it to. */
  void FenceOneServer(std::size_t aServer) { this->ExecuteAcceptTerm(aServer, this->row.term + 1); }
  /** Repairs all faults and stops action faults. With aLeaveOneServerDown, a random server is down
      afterwards. */
  void RepairAllFaults(bool aLeaveOneServerDown);
  /** Delays each further answer of the platform by aDelay. */
  void DelayPlatformAnswers(Duration aDelay) { this->platformDelay = aDelay; }
  /** Sets the time of the fault for PromotionTimesSinceFault to the current time. */
  void MarkFaultTime();
  /** Returns nothing if no primary was recorded and promoted since the marked time, or if a VM does
      not know it yet. */
  std::optional<PromotionTimes> PromotionTimesSinceFault() const;

  std::uint64_t RowTerm() const { return this->row.term; }
  /** Number of compare-and-sets that reached the platform, including those that failed because of
      another version. */
  std::uint64_t RowAttempts() const { return this->rowAttempts; }
  std::size_t AcknowledgedCount() const { return this->acknowledged.size(); }
  /** Time of the first acknowledgement after aTime in the recorded term; nothing if none exists. */
  std::optional<Duration> AcknowledgedAfter(Duration aTime) const;
  /** Time from the last acknowledgement of an earlier term to the first one of the recorded term;
      nothing if either does not exist. */
  std::optional<Duration> AcknowledgementGap() const;
  /** Number of acknowledged writes that aren't in the recorded primary's log exactly once. */
  std::size_t LostOrDuplicatedCount() const;
  /** The first violated property; empty if there is none. */
  const std::string& Violation() const { return this->violation; }

  static constexpr std::size_t kServers = 3;
  static constexpr std::size_t kDomains = 4;

private:
  struct Entry
  {
    std::uint64_t term = 0;
    std::uint64_t id = 0;
  };

  struct Server
  {
    std::uint64_t acceptedTerm = 0;
    bool leads = false;
    std::uint64_t ledTerm = 0;
    std::uint64_t followedTerm = 0;
    std::size_t followedServer = kServers;
    std::vector<Entry> log;
  };

  struct Node
  {
    bool alive = true;
    bool paused = false;
    std::uint64_t incarnation = 1;
    std::vector<std::function<void()>> deferred;
  };

  struct Vm
  {
    std::optional<FailoverStateMachine> stateMachine;
    SuspicionTracker tracker{ kSuspicionTimeout };
    std::array<bool, kServers> probeAnswered{ true, true, true };
    bool suspected = false;
    std::uint64_t ticks = 0;
    Duration platformAnswerAt{ 0 };
    // Start times of the phases of this VM's latest attempt.
    Duration queriedAt{ 0 };
    Duration fencingAt{ 0 };
    Duration recordingAt{ 0 };
    std::map<std::uint64_t, Duration> adoptedAt;
  };

  struct Event
  {
    Duration at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  struct Acknowledged
  {
    LogPosition position;
    std::uint64_t id = 0;
    Duration at{ 0 };
  };

  bool Chance(double aProbability);
  Duration RandomDuration(std::int64_t aLow, std::int64_t aHigh);
  void Schedule(Duration aDelay, std::size_t aNode, std::function<void()> aRun);
  void Send(std::size_t aFrom, std::size_t aTo, std::function<void()> aRun);
  void ReportViolation(const std::string& aDescription);

  void StartVm(std::size_t aVm);
  void TickVm(std::size_t aVm);
  void Probe(std::size_t aVm);
  void PollPlatform(std::size_t aVm);
  void Write(std::size_t aVm);
  void PollServers(std::size_t aVm,
                   const std::shared_ptr<AcknowledgementRule>& aRule,
                   LogPosition aPosition,
                   std::uint64_t aId,
                   unsigned aAttempts);
  void CheckAcknowledgement(LogPosition aPosition, std::uint64_t aId);
  void Deliver(std::size_t aVm, FailoverEvent aEvent);
  void Execute(std::size_t aVm, const FailoverAction& aAction);
  void CommandServer(std::size_t aVm, const FailoverAction& aAction);

  void SendCommand(std::size_t aVm, std::size_t aServer, std::function<FailoverEvent()> aRun);

  ServerReport ReportOf(std::size_t aServer) const;
  ServerAddress AddressOf(std::size_t aServer) const;
  std::size_t ServerOf(const ServerAddress& aAddress) const;
  VmId VmIdOf(std::size_t aVm) const { return VmId("vm-" + std::to_string(aVm)); }
  bool ExecuteAcceptTerm(std::size_t aServer, std::uint64_t aTerm);
  bool ExecutePromote(std::size_t aServer, std::uint64_t aTerm);
  bool ExecuteFollow(std::size_t aServer, std::uint64_t aTerm, std::size_t aPrimary);
  void PullLog(std::size_t aServer);
  static bool Holds(const std::vector<Entry>& aLog, const Acknowledged& aWrite);

  FailoverModelOptions options;
  std::mt19937_64 random;
  Duration now{ 0 };
  std::uint64_t order = 0;
  std::priority_queue<Event> events;
  std::vector<Node> nodes;
  std::vector<std::vector<bool>> partitioned;
  std::vector<Vm> vms;
  std::array<Server, kServers> servers;
  PrimaryRow row;
  std::uint64_t rowAttempts = 0;
  Duration rowWrittenAt{ 0 };
  std::size_t rowWriter = 0;
  std::uint64_t nextWrite = 1;
  Duration faultAt{ 0 };
  Duration platformDelay{ 0 };

  std::string violation;
  std::vector<Acknowledged> acknowledged;
  std::map<std::uint64_t, std::size_t> primaryOfTerm;
  std::map<std::uint64_t, std::vector<Entry>> logsAtPromotion;
  std::map<std::uint64_t, Duration> promotedAt;
  // Failure domains of the VMs that suspected the primary of a term.
  std::map<std::uint64_t, std::set<std::size_t>> suspectingDomains;
};

} // namespace mustardshift::test

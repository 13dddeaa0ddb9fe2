#include "core/mustardshift_core.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <random>
#include <string>
#include <variant>
#include <vector>

/** Embeds the coordination logic without a daemon: two VMs share an organisation's rate, and a
    session moves from one VM to the other. The clock is a number that the program moves forward. */

namespace {

using namespace mustardshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kIncarnation = 1;
constexpr double kRate = 120;
constexpr double kBurst = 12;
constexpr unsigned kGeneratorSeed = 7;

const OrganisationName kOrganisation("blue-lagoon");
const DatabaseName kDatabase("boutiques");

/** Half of a cell's shards, leased until a given instant. */
std::vector<HeldQuotaShard> HalfOfShards(unsigned aFirst, Instant aDeadline)
{
  std::vector<HeldQuotaShard> shards;
  for (unsigned i = 0; i < kQuotaShardsPerCell / 2; ++i) {
    shards.push_back({ QuotaShardId{ static_cast<std::uint8_t>(aFirst + i) }, aDeadline });
  }
  return shards;
}

struct Admitted
{
  int requests = 0;
  int admitted = 0;
};

/** One second in which 100 requests arrive at a VM, one each 10 ms. A request that is told to wait
    gives up, to keep the example short. */
Admitted SendForOneSecond(OrganisationQuotaTable& aTable, Instant aStart)
{
  Admitted counts;
  for (Instant now = aStart; now < aStart + seconds(1); now += milliseconds(10)) {
    ++counts.requests;
    const Outcome<Admission> admission = aTable.Admit(now, kOrganisation);
    if (admission && admission->isAdmitted) {
      ++counts.admitted;
    } else if (admission) {
      aTable.CancelWait(kOrganisation, *admission);
    }
  }
  return counts;
}

void Print(const std::string& aWhen, const Admitted& aCounts)
{
  std::cout << "vm-1, " << aWhen << ": " << aCounts.admitted << " of " << aCounts.requests
            << " requests admitted" << std::endl;
}

/** Share of the organisation's rate, in whole percent. */
std::string ShareOf(QuotaUnits aUnits)
{
  return std::to_string((aUnits * 100 + kQuotaUnitsTotal / 2) / kQuotaUnitsTotal) + "%";
}

void PrintShares(const std::string& aWhen,
                 Instant aNow,
                 OrganisationQuotaTable& aFirst,
                 OrganisationQuotaTable& aSecond)
{
  const QuotaUnits first = aFirst.Find(kOrganisation)->Units(aNow);
  const QuotaUnits second = aSecond.Find(kOrganisation)->Units(aNow);
  std::cout << "shares " << aWhen << ": vm-1 " << ShareOf(first) << ", vm-2 " << ShareOf(second)
            << ", sum " << ShareOf(first + second) << std::endl;
}

/** vm-1 needs more than its half of the rate and borrows from vm-2, which is idle. */
void ShareRate()
{
  const VmId first("vm-1");
  const VmId second("vm-2");
  Instant now{ seconds(100) };
  const Instant lease = now + kQuotaLeaseDuration;
  OrganisationQuotaTable lender(second, kIncarnation);
  OrganisationQuotaTable borrower(first, kIncarnation);
  const std::vector<Organisation> organisations{ { kOrganisation, kRate, kBurst, 1, {} } };
  borrower.Configure(now, organisations);
  lender.Configure(now, organisations);
  borrower.SetShards(now, HalfOfShards(0, lease));
  lender.SetShards(now, HalfOfShards(kQuotaShardsPerCell / 2, lease));
  PrintShares("at the start", now, borrower, lender);

  now += seconds(1);
  Print("with its own half of the rate", SendForOneSecond(borrower, now));
  now += seconds(1);
  for (const QuotaLoanRequest& request : borrower.PlanLoanRequests(now, { second })) {
    // An embedder sends the request and the grant over its own transport.
    const Instant answered = now + milliseconds(1);
    const QuotaLoanGrant grant = lender.Lend(answered, request);
    const bool isTaken = borrower.Borrow(answered + milliseconds(1), grant, now);
    std::cout << "vm-1 asks " << request.lender.Text() << " for " << ShareOf(request.units)
              << " and is lent " << ShareOf(grant.units) << (isTaken ? "" : " (too late)")
              << std::endl;
  }
  now += milliseconds(2);
  PrintShares("during the loan", now, borrower, lender);
  Print("during the loan", SendForOneSecond(borrower, now));
  now += kMaxQuotaLoanDuration;
  PrintShares("after the borrower's deadline", now, borrower, lender);
  now += seconds(1);
  PrintShares("a second later", now, borrower, lender);
}

std::string Describe(const ReadPlan& aPlan)
{
  if (const auto* read = std::get_if<ReadAtReplica>(&aPlan)) {
    return "read at replica " + read->replica.Text();
  }
  if (const auto* wait = std::get_if<WaitAtReplica>(&aPlan)) {
    return "wait at replica " + wait->replica.Text() + " for at most " +
           std::to_string(wait->bound.count()) + " us";
  }
  if (const auto* primary = std::get_if<ReadAtPrimary>(&aPlan)) {
    return "read at primary " + primary->primary.Text();
  }
  return "refuse: " + std::string(ToString(std::get<Refusal>(aPlan).reason));
}

ReplicaView MakeReplica(const std::string& aAddress, std::uint64_t aOffset, Duration aLag)
{
  ReplicaView view;
  view.address = ServerAddress(aAddress);
  view.acceptedTerm = 3;
  view.position = { 3, aOffset };
  view.history = TermHistory({ { 1, 1 }, { 3, 20 } });
  view.estimatedLag = aLag;
  return view;
}

/** A session writes through vm-1 and reads its write through vm-2. */
void MoveSession()
{
  // All VMs find the same secret in the configuration.
  const SessionTokenCodec codec(std::string(32, 's'));
  SessionToken written(kOrganisation);
  written.ObserveWrite(kDatabase, { 3, 42 });
  std::string bytes = codec.Encode(written);

  const Outcome<SessionToken> token = codec.Decode(bytes, kOrganisation);
  if (!token) {
    std::cout << "token refused: " << ToString(token.error().reason) << std::endl;
    return;
  }
  const Instant now{ seconds(200) };
  ReadRequirement requirement;
  requirement.minimumPosition = token->MinimumPositionFor(kDatabase);
  requirement.mustReadAtPrimary = token->MustReadAtPrimary(kDatabase);
  requirement.term = 3;
  requirement.primary = ServerAddress("10.20.1.10:5400");
  requirement.deadline = now + seconds(1);
  std::cout << "the session needs term " << requirement.minimumPosition.term << ", offset "
            << requirement.minimumPosition.offset << std::endl;

  const ReadRouter router;
  std::mt19937 generator(kGeneratorSeed);
  std::array views{ MakeReplica("10.20.2.10:5400", 40, milliseconds(2)),
                    MakeReplica("10.20.3.10:5400", 25, seconds(3)) };
  std::cout << "replicas at 40 and 25: "
            << Describe(router.Plan(requirement, views, now, generator)) << std::endl;
  views[0].position.offset = 42;
  std::cout << "replicas at 42 and 25: "
            << Describe(router.Plan(requirement, views, now, generator)) << std::endl;
  views[0] = MakeReplica("10.20.2.10:5400", 30, seconds(2));
  std::cout << "replicas at 30 and 25, both seconds behind: "
            << Describe(router.Plan(requirement, views, now, generator)) << std::endl;
  requirement.primary.reset();
  std::cout << "the same without a primary: "
            << Describe(router.Plan(requirement, views, now, generator)) << std::endl;

  bytes.back() = static_cast<char>(bytes.back() ^ 1);
  const Outcome<SessionToken> altered = codec.Decode(bytes, kOrganisation);
  std::cout << "an altered token: "
            << (altered ? "accepted" : std::string(ToString(altered.error().reason))) << std::endl;
}

} // namespace

int main()
{
  ShareRate();
  MoveSession();
  return 0;
}

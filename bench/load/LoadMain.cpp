#include "adapters/channel/ChannelFactory.h"
#include "load/CallerChannels.h"
#include "load/LoadRun.h"
#include "load/ReadComparison.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

ABSL_FLAG(std::vector<std::string>, targets, {}, "caller addresses of daemons, IP:port");
ABSL_FLAG(std::vector<std::string>,
          organisations,
          {},
          "one NAME:KEY:ROUTE:RATE:SESSIONS each; KEY is empty on a public route");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random draws");
ABSL_FLAG(std::string, run_id, "", "prefix of keys and request ids; load-SEED when empty");
ABSL_FLAG(double, seconds, 10, "length of the load");
ABSL_FLAG(std::uint64_t, maximum_requests, 100'000, "the load ends after this many requests");
ABSL_FLAG(std::uint64_t, maximum_in_flight, 2'000, "most requests under way");
ABSL_FLAG(double, booking_share, 0.15, "share of bookings among the requests");
ABSL_FLAG(double, deposit_share, 0.1, "share of deposits among the requests");
ABSL_FLAG(double, transaction_share, 0.05, "share of transactions among the requests");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(std::string,
          compare_with,
          "",
          "address of a database server: compare reads there with reads through the first target");
ABSL_FLAG(std::uint64_t, compare_count, 1'000, "reads on each way");
ABSL_FLAG(double, distance_ms, 1, "time added to each compared read");
ABSL_FLAG(std::uint64_t,
          idle_connections,
          0,
          "open this many connections to the first target, keep them for --seconds");

namespace {

using namespace mustardshift;
using namespace mustardshift::bench;

constexpr int kExitViolated = 1;
constexpr int kExitUsage = 2;

bool ParseOrganisations(std::vector<LoadedOrganisation>& aOrganisations)
{
  for (const std::string& text : absl::GetFlag(FLAGS_organisations)) {
    const std::vector<std::string> parts = absl::StrSplit(text, ':');
    LoadedOrganisation organisation;
    std::uint64_t sessions = 0;
    if (parts.size() != 5 || !absl::SimpleAtod(parts[3], &organisation.rate) ||
        !absl::SimpleAtoi(parts[4], &sessions) || organisation.rate <= 0 || sessions == 0) {
      std::cerr << "mustardshift_load: an entry of --organisations is malformed" << std::endl;
      return false;
    }
    organisation.name = parts[0];
    organisation.key = parts[1];
    organisation.route = parts[2];
    organisation.sessions = sessions;
    aOrganisations.push_back(std::move(organisation));
  }
  return !aOrganisations.empty();
}

int HoldConnections(const LoadOptions& aOptions)
{
  std::vector<std::shared_ptr<grpc::Channel>> channels;
  const std::uint64_t count = absl::GetFlag(FLAGS_idle_connections);
  constexpr std::uint64_t kAtOnce = 100;
  std::uint64_t open = 0;
  for (std::uint64_t index = 0; index < count; index += kAtOnce) {
    const std::size_t first = channels.size();
    for (std::uint64_t one = index; one < std::min(index + kAtOnce, count); ++one) {
      channels.push_back(MakeOwnChannel(aOptions.targets.front()));
      channels.back()->GetState(true);
    }
    for (std::size_t one = first; one < channels.size(); ++one) {
      open += channels[one]->WaitForConnected(DeadlineAfter(std::chrono::seconds(5))) ? 1 : 0;
    }
  }
  std::cout << "open " << open << std::endl;
  std::this_thread::sleep_for(aOptions.length);
  return open == count ? 0 : kExitViolated;
}

int Compare(const LoadOptions& aOptions)
{
  const Duration distance(static_cast<Duration::rep>(absl::GetFlag(FLAGS_distance_ms) * 1000));
  const LoadedOrganisation& organisation = aOptions.organisations.front();
  const ReadComparisonResult result = CompareReads(absl::GetFlag(FLAGS_compare_with),
                                                   aOptions.targets.front(),
                                                   organisation.key,
                                                   organisation.route,
                                                   absl::GetFlag(FLAGS_compare_count),
                                                   distance);
  std::cout << "direct p50_us " << result.direct.Percentile(0.5).count() << " p99_us "
            << result.direct.Percentile(0.99).count() << " proxied p50_us "
            << result.proxied.Percentile(0.5).count() << " p99_us "
            << result.proxied.Percentile(0.99).count() << " failures " << result.failures
            << (result.firstRefusal.empty() ? "" : " first refusal " + result.firstRefusal)
            << std::endl;
  return result.failures == 0 ? 0 : kExitViolated;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Sends a load to daemons and checks what they answer.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  LoadOptions options;
  options.targets = absl::GetFlag(FLAGS_targets);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.runId = absl::GetFlag(FLAGS_run_id);
  if (options.runId.empty()) {
    options.runId = "load-" + std::to_string(options.seed);
  }
  options.length = Duration(static_cast<Duration::rep>(absl::GetFlag(FLAGS_seconds) * 1e6));
  options.maximumRequests = absl::GetFlag(FLAGS_maximum_requests);
  options.maximumInFlight = absl::GetFlag(FLAGS_maximum_in_flight);
  options.bookingShare = absl::GetFlag(FLAGS_booking_share);
  options.depositShare = absl::GetFlag(FLAGS_deposit_share);
  options.transactionShare = absl::GetFlag(FLAGS_transaction_share);
  if (options.targets.empty()) {
    std::cerr << "mustardshift_load: --targets is required" << std::endl;
    return kExitUsage;
  }
  if (absl::GetFlag(FLAGS_idle_connections) > 0) {
    return HoldConnections(options);
  }
  if (!ParseOrganisations(options.organisations)) {
    std::cerr << "mustardshift_load: --organisations is required" << std::endl;
    return kExitUsage;
  }
  if (!absl::GetFlag(FLAGS_compare_with).empty()) {
    return Compare(options);
  }
  const LoadResult result = LoadRun(options).Run();
  std::cout << (absl::GetFlag(FLAGS_json) ? result.ToJson() : result.ToText());
  return result.violationCount == 0 && result.uncheckedOrganisations == 0 ? 0 : kExitViolated;
}

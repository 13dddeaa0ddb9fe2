#include "load/LoadResult.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace mustardshift::bench {

namespace {

double Milliseconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000;
}

} // namespace

std::string LoadResult::ToText() const
{
  std::ostringstream text;
  text << this->requests << " requests in " << this->seconds << " s, " << this->reads << " reads, "
       << this->replicaReads << " of them at replicas, " << this->leftOut << " left out\n";
  for (const auto& [place, histogram] : this->latencies) {
    text << "  " << place.first << " " << place.second << ": " << histogram.Count() << ", ms: p50 "
         << Milliseconds(histogram.Percentile(0.5)) << ", p90 "
         << Milliseconds(histogram.Percentile(0.9)) << ", p99 "
         << Milliseconds(histogram.Percentile(0.99)) << ", p99.9 "
         << Milliseconds(histogram.Percentile(0.999)) << ", largest "
         << Milliseconds(histogram.Largest()) << "\n";
  }
  for (const auto& [reason, count] : this->reasons) {
    text << "  reason " << reason << ": " << count << "\n";
  }
  text << "  acknowledged: " << this->acknowledgedBookings << " bookings, "
       << this->acknowledgedDeposits << " deposits, " << this->acknowledgedTransactions
       << " transactions; organisations not checked at the end: " << this->uncheckedOrganisations
       << "\n  violations: " << this->violationCount << "\n";
  for (const std::string& violation : this->violations) {
    text << "    " << violation << "\n";
  }
  return text.str();
}

std::string LoadResult::ToJson() const
{
  nlohmann::ordered_json latencies = nlohmann::ordered_json::array();
  for (const auto& [place, histogram] : this->latencies) {
    latencies.push_back({ { "organisation", place.first },
                          { "verdict", place.second },
                          { "count", histogram.Count() },
                          { "p50_ms", Milliseconds(histogram.Percentile(0.5)) },
                          { "p90_ms", Milliseconds(histogram.Percentile(0.9)) },
                          { "p99_ms", Milliseconds(histogram.Percentile(0.99)) },
                          { "p999_ms", Milliseconds(histogram.Percentile(0.999)) },
                          { "largest_ms", Milliseconds(histogram.Largest()) } });
  }
  const nlohmann::ordered_json all{
    { "requests", this->requests },
    { "seconds", this->seconds },
    { "reads", this->reads },
    { "replica_reads", this->replicaReads },
    { "left_out", this->leftOut },
    { "latencies", latencies },
    { "reasons", this->reasons },
    { "acknowledged_bookings", this->acknowledgedBookings },
    { "acknowledged_deposits", this->acknowledgedDeposits },
    { "acknowledged_transactions", this->acknowledgedTransactions },
    { "unchecked_organisations", this->uncheckedOrganisations },
    { "violation_count", this->violationCount },
    { "violations", this->violations },
  };
  return all.dump(2) + "\n";
}

} // namespace mustardshift::bench

#include "AdmissionSimulation.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <cstddef>

namespace mustardshift::proxy {

std::vector<SimulatedEnd> AdmissionSimulation::Run(const std::vector<SimulatedArrival>& aArrivals)
{
  std::vector<SimulatedEnd> ends(aArrivals.size());
  for (std::size_t index = 0; index < aArrivals.size(); ++index) {
    this->scheduler.Schedule(aArrivals[index].at, [&, index](Instant aNow) {
      this->server.Submit(
        aNow,
        aArrivals[index].request,
        aArrivals[index].serverTime,
        [&ends, index](Instant, const SimulatedEnd& aEnd) { ends[index] = aEnd; });
    });
  }
  while (const auto due = this->scheduler.NextDue()) {
    this->onEvent(*due);
    this->scheduler.RunDue(*due);
  }
  for (const std::string& violation : this->server.violations) {
    CPPUNIT_FAIL(violation);
  }
  return ends;
}

std::vector<SimulatedArrival> MakeArrivals(const std::vector<SimulatedStream>& aStreams,
                                           std::mt19937& aRandom)
{
  std::vector<SimulatedArrival> arrivals;
  for (const SimulatedStream& stream : aStreams) {
    std::exponential_distribution<double> gap(stream.ratePerSecond);
    std::uniform_real_distribution<double> part(1.0 / 3, 5.0 / 3);
    const auto micros = [](double aSeconds) {
      return Duration(static_cast<Duration::rep>(aSeconds * 1e6));
    };
    Instant at = stream.begin + micros(gap(aRandom));
    for (; at < stream.end; at += micros(gap(aRandom))) {
      SimulatedArrival arrival;
      arrival.at = at;
      arrival.request.organisation = OrganisationName(stream.organisation);
      arrival.request.priority = stream.priority;
      arrival.request.startBy = at + stream.timeLeft;
      arrival.request.targetLatencyLeft = std::chrono::milliseconds(50);
      const double seconds = std::chrono::duration<double>(stream.averageTime).count();
      arrival.serverTime = micros(seconds * part(aRandom));
      arrivals.push_back(arrival);
    }
  }
  std::sort(arrivals.begin(), arrivals.end(), [](const auto& aOne, const auto& aOther) {
    return aOne.at < aOther.at;
  });
  return arrivals;
}

} // namespace mustardshift::proxy

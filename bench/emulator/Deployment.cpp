#include "emulator/Deployment.h"

#include <numeric>

namespace mustardshift::bench {

namespace {

Organisation Make(const char* aName, double aRate, unsigned aWeight)
{
  return { OrganisationName(aName), aRate, 2 * aRate, aWeight, {} };
}

} // namespace

double Deployment::TotalRate() const
{
  return std::accumulate(this->organisations.begin(),
                         this->organisations.end(),
                         0.0,
                         [](double aSum, const Organisation& aOne) { return aSum + aOne.rate; });
}

const std::vector<Deployment>& Deployments()
{
  static const std::vector<Deployment> kDeployments{
    { "kigali",
      Duration(1000),
      Duration(1000),
      3,
      20,
      { Make("gorilla-tours", 400, 8),
        Make("lake-ferries", 300, 6),
        Make("hill-lodges", 200, 4),
        Make("city-buses", 40, 1),
        Make("nyungwe-walks", 20, 1),
        Make("volcano-guides", 20, 1),
        Make("museum-tickets", 15, 1),
        Make("river-rafting", 10, 1) } },
    { "aqaba",
      Duration(500),
      Duration(1000),
      2,
      35,
      { Make("red-sea-diving", 600, 8),
        Make("desert-camps", 450, 6),
        Make("harbour-hotels", 300, 4),
        Make("airport-shuttles", 60, 1),
        Make("glass-boats", 30, 1),
        Make("wadi-climbing", 30, 1),
        Make("spa-days", 20, 1),
        Make("kite-school", 10, 1) } },
  };
  return kDeployments;
}

} // namespace mustardshift::bench

#include "proxy/routing/ServerLoadView.h"

#include <algorithm>
#include <cmath>

namespace mustardshift::proxy {

void ServerLoadView::Update(const ServerId& aServer, const ServerLoad& aLoad, Instant aMeasuredAt)
{
  const auto [report, isNew] = this->reports.try_emplace(aServer, Report{ aLoad, aMeasuredAt });
  if (!isNew && aMeasuredAt >= report->second.measuredAt) {
    report->second = { aLoad, aMeasuredAt };
  }
}

ServerLoad ServerLoadView::LoadOf(Instant aNow, const ServerId& aServer) const
{
  const auto report = this->reports.find(aServer);
  if (report == this->reports.end()) {
    return {};
  }
  ServerLoad load = report->second.load;
  const Duration age = std::max(Duration::zero(), aNow - report->second.measuredAt);
  load.ejectedFor = std::max(Duration::zero(), load.ejectedFor - age);
  if (age <= kFullFor) {
    return load;
  }
  const double halvings =
    std::chrono::duration<double>(age - kFullFor) / std::chrono::duration<double>(kHalfLife);
  const double factor = std::exp2(-halvings);
  for (Duration& wait : load.expectedWaits) {
    wait = Duration(static_cast<Duration::rep>(static_cast<double>(wait.count()) * factor));
  }
  load.inFlight = static_cast<unsigned>(load.inFlight * factor);
  load.waiting = static_cast<unsigned>(load.waiting * factor);
  load.utilisation *= factor;
  return load;
}

std::optional<double> ServerLoadView::UtilisationOf(Instant aNow, const ServerId& aServer) const
{
  const auto report = this->reports.find(aServer);
  if (report == this->reports.end() || aNow - report->second.measuredAt > kUtilisationFor) {
    return std::nullopt;
  }
  return report->second.load.utilisation;
}

} // namespace mustardshift::proxy

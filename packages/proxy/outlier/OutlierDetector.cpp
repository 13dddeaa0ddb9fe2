#include "proxy/outlier/OutlierDetector.h"

#include <algorithm>

namespace mustardshift::proxy {

OutlierDetector::OutlierDetector(OutlierOptions aOptions)
  : options(aOptions)
{
}

void OutlierDetector::SetServers(const std::vector<ServerId>& aReplicas,
                                 const std::optional<ServerId>& aPrimary)
{
  this->replicas = { aReplicas.begin(), aReplicas.end() };
  this->primary = aPrimary;
}

std::optional<Ejection> OutlierDetector::Record(Instant /*aNow*/,
                                                const ServerId& /*aServer*/,
                                                const ServerAnswer& /*aAnswer*/)
{
  return std::nullopt;
}

void OutlierDetector::RecordReported(Instant /*aNow*/,
                                     const ServerId& /*aServer*/,
                                     Duration /*aReadTime*/)
{
}

bool OutlierDetector::IsEjected(Instant aNow, const ServerId& aServer) const
{
  return this->EjectedFor(aNow, aServer) > Duration::zero();
}

bool OutlierDetector::TakeProbe(Instant /*aNow*/, const ServerId& /*aServer*/)
{
  return true;
}

Duration OutlierDetector::EjectedFor(Instant aNow, const ServerId& aServer) const
{
  const auto record = this->records.find(aServer);
  return record == this->records.end()
           ? Duration::zero()
           : std::max(Duration::zero(), record->second.ejectedUntil - aNow);
}

std::vector<Ejection> OutlierDetector::Ejections(Instant /*aNow*/) const
{
  return {};
}

} // namespace mustardshift::proxy

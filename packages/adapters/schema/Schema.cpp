#include "adapters/schema/Schema.h"

#include <algorithm>

namespace mustardshift {

Configuration Schema::ApplyTo(const Configuration& aPresent) const
{
  Configuration next = aPresent;
  next.organisations = this->organisations;
  next.routes = this->routes;
  next.databases = this->databases;
  for (Organisation& organisation : next.organisations) {
    if (!this->organisationsKeepingKeys.contains(organisation.name)) {
      continue;
    }
    const auto present =
      std::find_if(aPresent.organisations.begin(),
                   aPresent.organisations.end(),
                   [&](const Organisation& aOther) { return aOther.name == organisation.name; });
    if (present != aPresent.organisations.end()) {
      organisation.keys = present->keys;
    }
  }
  for (DatabaseGroup& database : next.databases) {
    const auto present =
      std::find_if(aPresent.databases.begin(),
                   aPresent.databases.end(),
                   [&](const DatabaseGroup& aOther) { return aOther.name == database.name; });
    if (present != aPresent.databases.end()) {
      database.inService = present->inService;
    }
  }
  return next;
}

} // namespace mustardshift

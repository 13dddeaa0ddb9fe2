#pragma once

#include "core/base/Instant.h"
#include "core/configuration/Organisation.h"

#include <string>
#include <vector>

namespace mustardshift::bench {

/** What the emulations need to know of a deployment; section 1 of the design page and the schema
    files in examples/ name the values. */
struct Deployment
{
  std::string name;
  /** One way between failure domains. */
  Duration domainLatency{ 0 };
  /** One way between client and VM. */
  Duration clientLatency{ 0 };
  unsigned slots = 0;
  unsigned connectionLimit = 0;
  /** Largest first. */
  std::vector<Organisation> organisations;

  double TotalRate() const;
};

/** Returns Kigali and Aqaba. Thread safety: pure. */
const std::vector<Deployment>& Deployments();

} // namespace mustardshift::bench

#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "emulator/Deployment.h"
#include "emulator/Percentiles.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mustardshift::bench {

struct FairnessOptions
{
  std::uint64_t seed = 1;
  unsigned vms = 6;
  unsigned slots = 2;
  Duration length = std::chrono::seconds(60);
  /** Multiple of its rate at which the largest organisation sends; the others send nine tenths of
      theirs. */
  double flood = 10;
  /** Baseline: each VM serves first come, first served. */
  bool isFirstComeFirstServed = false;
  /** Whether requests need a token of their organisation's quota, as in the daemon. */
  bool hasRateLimit = false;
  /** Set: no other organisation sends. */
  std::optional<std::size_t> only;
  /** Statements that one VM has under way at the server at a time; zero stands for as many as its
      connections. */
  unsigned inFlightPerVm = 0;
};

struct OrganisationService
{
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  Percentiles latencies;

  double Share() const
  {
    return this->asked == 0 ? 1
                            : static_cast<double>(this->served) / static_cast<double>(this->asked);
  }
};

/** Runs one server with slots behind VMs, each with a FairQueue and, if wanted, an
    OrganisationQuotaTable, in virtual time. Statements take such a time that all organisations at
    their rates use 60 % of the slots. For the first 20 s, which are not counted, nobody floods.
    @return  service by organisation, in the deployment's order. */
std::vector<OrganisationService> EmulateFairness(const Deployment& aDeployment,
                                                 const FairnessOptions& aOptions);

} // namespace mustardshift::bench

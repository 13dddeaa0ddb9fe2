#pragma once

#include "emulator/Deployment.h"
#include "emulator/Measure.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift::bench {

/** What happens to the primary, and how the platform is at that moment. */
enum class PrimaryFault
{
  Killed,
  Frozen,
  CutOff,
};
enum class PlatformState
{
  Up,
  /** Each answer takes 700 ms. */
  Slow,
  /** No answer for 10 s. */
  Down,
};

struct FailoverResult
{
  /** In ms, ascending; with the platform down, from its return. */
  std::vector<double> gaps;
  /** In ms, ascending: a lease of 10 s that has to run out first. */
  std::vector<double> baselineGaps;
  /** Sums of the runs' steps, in ms. */
  double detect = 0;
  double decide = 0;
  double fence = 0;
  double record = 0;
  double promote = 0;
  double learn = 0;
  std::size_t lostOrDoubled = 0;
  /** Runs without a new primary, or that broke a property of the model. */
  std::size_t failedRuns = 0;
  std::string firstFailure;
};

/** Runs the failover classes of six VMs through one fault per run, in virtual time.
    @param aIsUnsafe  broken variant: any fenced server is promoted, whatever its log holds. */
FailoverResult EmulateFailover(const Deployment& aDeployment,
                               std::uint64_t aSeed,
                               std::size_t aRuns,
                               PrimaryFault aFault,
                               PlatformState aPlatform,
                               bool aIsUnsafe = false);

/** The failover gap by fault and state of the platform, and lost or doubled writes. */
std::vector<Measure> MeasureFailover(const Deployment& aDeployment, std::uint64_t aSeed);

} // namespace mustardshift::bench

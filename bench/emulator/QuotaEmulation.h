#pragma once

#include "core/base/Instant.h"
#include "emulator/Deployment.h"

#include <cstdint>
#include <map>
#include <string>

namespace mustardshift::bench {

/** Where the callers of an organisation connect. */
enum class CallerPlacement
{
  AllVms,
  OneVm,
  /** One VM at a time, another one every 20 s. */
  Moving,
};

/** What happens to the VMs of a quota emulation. */
enum class VmChange
{
  None,
  /** Every 30 s one VM leaves gracefully, and a new one joins. */
  Replaced,
  /** Every 30 s one process is killed and starts again on the same address 3 s later. */
  Restarted,
  /** One VM is killed for good, and a new one joins. */
  Lost,
};

struct QuotaOptions
{
  std::uint64_t seed = 1;
  unsigned vms = 6;
  CallerPlacement placement = CallerPlacement::AllVms;
  VmChange change = VmChange::None;
  /** Asked for, as a part of each organisation's rate. */
  double load = 0.9;
  Duration length = std::chrono::seconds(120);
  /** The platform gives no answer from 20 s on until the end. */
  bool isPlatformDown = false;
  /** Broken variant: VMs never borrow. */
  bool hasLoans = true;
  /** Broken variant: each VM admits by the whole rate, on its own. */
  bool hasWholeRatePerVm = false;
};

struct QuotaResult
{
  std::uint64_t asked = 0;
  /** Refused although one bucket for the whole fleet would have admitted the request. */
  std::uint64_t refusedWithinRate = 0;
  /** The same with equal fixed shares per VM. */
  std::uint64_t refusedByFixedShares = 0;
  /** Largest excess of any organisation over rate and burst in any window, in requests. */
  double worstExcess = 0;
  /** Largest share of refused requests of any organisation, and which one it is. */
  double worstShare = 0;
  std::string worstOrganisation;
  std::uint64_t tableWrites = 0;
  std::uint64_t tableReads = 0;
  std::uint64_t loanMessages = 0;
  /** Counted time, without the start. */
  double seconds = 0;

  double RefusedShare() const;
  double FixedShare() const;
};

/** Runs the quota classes of one cell of VMs against a table in virtual time. */
QuotaResult EmulateQuota(const Deployment& aDeployment, const QuotaOptions& aOptions);

} // namespace mustardshift::bench

#pragma once

#include "adapters/platform/TableClient.h"
#include "core/base/Instant.h"
#include "core/membership/RegistrationRow.h"
#include "daemon/control/PlatformRows.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift {

/** Writes and renews this VM's registration in the platform's table, and reads the registrations of
    all VMs.

    Thread safety: only on the platform loop's thread; calls block until the platform responds. */
class RegistrationManager
{
public:
  struct Hooks
  {
    /** The write of the registration, sent at the first instant, was known at the second to have
        succeeded. */
    std::function<void(Instant, Instant)> registered;
    /** All registrations, from a read sent at the first instant and answered at the second. */
    std::function<
      void(Instant, Instant, const std::vector<RegistrationRow>&, const std::map<VmId, VmRow>&)>
      read;
  };

  RegistrationManager(TableClient& aTable, VmId aSelf, VmRow aRow, Hooks aHooks);

  /** Reads all registrations, then registers this VM or renews its registration if that is due.
      Returns false if the platform did not answer the read. */
  bool Poll(Instant aNow);

  /** Removes expired registrations, as returned by ConfigurationTrust::ExpiredRegistrations. A row
      that changed meanwhile stays. */
  void Remove(const std::vector<RegistrationRow>& aLapsed);

  /** Removes this VM's registration; called in a graceful shutdown. */
  void Deregister();

  /** Key and row version of this VM's registration; the version is zero while this process is not
      registered. */
  const std::string& Key() const { return this->key; }
  std::uint64_t RowVersion() const { return this->rowVersion; }

private:
  bool ReadAll();
  void Write(Instant aNow);

  TableClient& table;
  VmId self;
  VmRow row;
  Hooks hooks;
  std::string key;
  std::string encoded;
  std::uint64_t rowVersion = 0;
  /** Version of the row under this VM's key, which an earlier process may have written; zero if
      there is none. */
  std::uint64_t currentRowVersion = 0;
  Instant renewAt{};
  /** Send time of the last write whose response was lost. The write counts as successful once a
      read shows a new row version with this incarnation. */
  std::optional<Instant> unansweredWriteSentAt;
};

} // namespace mustardshift

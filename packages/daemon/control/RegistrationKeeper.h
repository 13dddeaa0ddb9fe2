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

/** Keeps this VM's registration in the platform's table, and reads those of the others.

    Thread safety: the platform loop's thread only; calls block on the platform. */
class RegistrationKeeper
{
public:
  struct Hooks
  {
    /** The registration, sent at the first instant, is known to have taken effect at the second. */
    std::function<void(Instant, Instant)> registered;
    /** All registrations, read by a request sent at the first instant, answered at the second. */
    std::function<
      void(Instant, Instant, const std::vector<RegistrationRow>&, const std::map<VmId, VmRow>&)>
      read;
  };

  RegistrationKeeper(TableClient& aTable, VmId aSelf, VmRow aRow, Hooks aHooks);

  /** Registers, renews the registration when it is due, and reads all registrations. Returns false
      when the platform gave no answer. */
  bool Poll(Instant aNow);

  /** Removes lapsed registrations, as ConfigurationTrust::ExpiredRegistrations names them. */
  void Remove(const std::vector<RegistrationRow>& aLapsed);

  /** Removes this VM's registration, at a graceful shutdown. */
  void Deregister();

  /** Key and version of this VM's row; version zero when it is not registered. */
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
  /** Version of the row under this key, whoever wrote it. */
  std::uint64_t presentVersion = 0;
  Instant renewAt{};
  /** When the write whose answer was lost was sent; it counts if the row shows it. */
  std::optional<Instant> lostWriteSent;
};

} // namespace mustardshift

#pragma once

#include "adapters/platform/ObjectStoreClient.h"
#include "adapters/platform/TableClient.h"
#include "core/base/Instant.h"
#include "core/configuration/CurrentConfiguration.h"
#include "daemon/control/AcceptResult.h"
#include "daemon/control/RegistrationManager.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mustardshift {

/** Keeps this VM's configuration at the latest version (the head) that the platform's table
    records, and commits operators' changes to that table.

    Thread safety: only on the platform loop's thread; calls block until the platform responds. */
class ConfigurationManager
{
public:
  /** Callbacks to the rest of the daemon, all called on the platform loop. */
  struct Hooks
  {
    /** The head was read: the time at which the read was sent, and the head's version. */
    std::function<void(Instant, std::uint64_t)> headRead;
    /** The current configuration was replaced by the given newer one. */
    std::function<void(std::shared_ptr<const Configuration>)> changed;
    /** Returns whether this VM may send a change to the platform now. */
    std::function<bool()> mayAcceptChanges;
    /** Called before a change that is based on the given version is sent to the platform. */
    std::function<void(std::uint64_t)> changeSent;
    /** The outcome of the change that is based on the given version is known: true if it was
        accepted, false if it never will be. */
    std::function<void(std::uint64_t, bool)> changeResolved;
    /** A change of this VM was accepted: its version and its encoding, to be sent to the peers. */
    std::function<void(std::uint64_t, const std::string&)> accepted;
  };

  ConfigurationManager(TableClient& aTable,
                       ObjectStoreClient& aObjects,
                       const RegistrationManager& aRegistration,
                       Hooks aHooks);

  /** Reads the head and fetches the changes that this VM lacks. Returns false if the platform did
      not respond, or if a row is missing or malformed. */
  bool Poll();

  /** Applies a change that a peer pushed. Ignored if it is malformed or does not directly follow
      the current version. */
  void ApplyPushedChange(const std::string& aEncodedChange);

  /** Validates a change and commits it to the platform's table.
      @param aBaseVersion  version that the change is based on; zero means the current one.
      @param aOperationId  a repeated call with the same id returns the result of the first if that
      was accepted. */
  AcceptResult SubmitChange(const ConfigurationAction& aAction,
                            std::uint64_t aBaseVersion,
                            const std::string& aOperationId);

  const std::shared_ptr<const Configuration>& Current() const { return this->current.Get(); }

private:
  enum class CommitOutcome
  {
    Committed,
    LostToOtherChange,
    NotCommitted,
    Unknown,
  };

  bool CatchUp(std::uint64_t aHead);
  bool LoadSnapshot();
  void SaveSnapshot();
  bool ApplyAndRecord(const ConfigurationChange& aChange);
  CommitOutcome Commit(const ConfigurationChange& aChange, const std::string& aEncoded);
  CommitOutcome ResolveUnknownCommit(const ConfigurationChange& aChange);
  std::optional<AcceptResult> FindOperation(const std::string& aOperationId) const;
  AcceptResult Result(AcceptStatus aStatus, std::string aMessage) const;

  TableClient& table;
  ObjectStoreClient& objects;
  const RegistrationManager& registration;
  Hooks hooks;
  CurrentConfiguration current;
  /** Row version of `configuration/head` at the last read. */
  std::uint64_t headRowVersion = 0;
  /** Configuration version by operation id, for the changes that this process applied one by one.
      Detects repeated operations. */
  std::map<std::string, std::uint64_t> operations;
};

} // namespace mustardshift

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

/** Keeps this VM's configuration at the head that the platform's table records, and has operators'
    changes accepted.

    Thread safety: the platform loop's thread only; calls block on the platform. */
class ConfigurationManager
{
public:
  /** What the keeper tells the rest of the daemon. All are called on the platform loop. */
  struct Hooks
  {
    /** A read of the head, sent at the instant, was answered. */
    std::function<void(Instant, std::uint64_t)> headRead;
    /** The present configuration is a new one. */
    std::function<void(std::shared_ptr<const Configuration>)> changed;
    /** Whether this VM may send a change to the platform now. */
    std::function<bool()> mayAcceptChanges;
    std::function<void(std::uint64_t)> changeSent;
    /** The change that started from a version was accepted, or never will be. */
    std::function<void(std::uint64_t, bool)> changeResolved;
    /** This VM had a change accepted; its encoded form is for the peers. */
    std::function<void(std::uint64_t, const std::string&)> accepted;
  };

  ConfigurationManager(TableClient& aTable,
                       ObjectStoreClient& aObjects,
                       const RegistrationManager& aRegistration,
                       Hooks aHooks);

  /** Reads the head and fetches what is missing. Returns false when the platform gave no answer. */
  bool Poll();

  /** Takes a change that a peer pushed; ignored unless it is the next one. */
  void ApplyPushedChange(const std::string& aEncodedChange);

  /** Has a change accepted.
      @param aBaseVersion  version that the change starts from; zero stands for the present one.
      @param aOperationId  repeats of the same operation return the first one's result. */
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
  /** Version of the row `configuration/head` when it was read last. */
  std::uint64_t headRowVersion = 0;
  /** Operations in the changes that this process has seen, for repeats. */
  std::map<std::string, std::uint64_t> operations;
};

} // namespace mustardshift

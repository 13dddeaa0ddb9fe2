#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <cstdint>
#include <memory>
#include <tl/expected.hpp>

namespace mustardshift {

/** Holds the current configuration. Its version never decreases.

    Thread safety: none. The configurations that Get() returns are immutable and may be passed to
    other threads. */
class CurrentConfiguration
{
public:
  /** Starts with an empty configuration of version 0. */
  CurrentConfiguration();

  /** Returns the current configuration; never null. */
  const std::shared_ptr<const Configuration>& Get() const { return this->current; }

  std::uint64_t Version() const { return this->current->version; }

  /** Applies a change whose version is the one after the current version.
      Errors, which leave the current configuration unchanged: VersionPassed when the change is
      applied already, VersionSkipped when changes between the current version and
      this change are missing, Invalid. */
  tl::expected<void, ConfigurationError> Apply(const ConfigurationChange& aChange);

  /** Takes a whole configuration of a higher version.
      Errors, which leave the current configuration unchanged: VersionPassed when the
      snapshot's version is not higher, Invalid. */
  tl::expected<void, ConfigurationError> ApplySnapshot(Configuration aConfiguration);

private:
  std::shared_ptr<const Configuration> current;
};

} // namespace mustardshift

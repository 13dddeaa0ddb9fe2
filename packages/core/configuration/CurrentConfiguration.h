#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <cstdint>
#include <memory>
#include <tl/expected.hpp>

namespace mustardshift {

/** Holds the current configuration, whose version only ever rises.

    Thread safety: none. The configurations that Get() returns never change and may be handed to
    other threads. */
class CurrentConfiguration
{
public:
  /** Starts with an empty configuration of version 0. */
  CurrentConfiguration();

  /** The current configuration; never null. */
  const std::shared_ptr<const Configuration>& Get() const { return this->current; }

  std::uint64_t Version() const { return this->current->version; }

  /** Applies a change that leads from the current version to the next one.
      Errors, after which the current configuration is unchanged: VersionPassed when the change is
      applied already, VersionSkipped when changes in between are missing, Invalid. */
  tl::expected<void, ConfigurationError> Apply(const ConfigurationChange& aChange);

  /** Takes a whole configuration of a higher version.
      Errors, after which the current configuration is unchanged: VersionPassed, Invalid. */
  tl::expected<void, ConfigurationError> ApplySnapshot(Configuration aConfiguration);

private:
  std::shared_ptr<const Configuration> current;
};

} // namespace mustardshift

#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <cstdint>
#include <memory>
#include <tl/expected.hpp>

namespace mustardshift {

/** Holds the present configuration, whose version only ever rises.

    Thread safety: none. The configurations that Present() returns never change and may be handed to
    other threads. */
class ConfigurationHistory
{
public:
  /** Starts with an empty configuration of version 0. */
  ConfigurationHistory();

  /** The present configuration; never null. */
  const std::shared_ptr<const Configuration>& Present() const { return this->present; }

  std::uint64_t Version() const { return this->present->version; }

  /** Applies a change that leads from the present version to the next one.
      Errors, after which the present configuration is unchanged: VersionPassed when the change is
      applied already, VersionSkipped when changes in between are missing, Invalid. */
  tl::expected<void, ConfigurationError> Accept(const ConfigurationChange& aChange);

  /** Takes a whole configuration of a higher version.
      Errors, after which the present configuration is unchanged: VersionPassed, Invalid. */
  tl::expected<void, ConfigurationError> AcceptSnapshot(Configuration aConfiguration);

private:
  std::shared_ptr<const Configuration> present;
};

} // namespace mustardshift

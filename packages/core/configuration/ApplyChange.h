#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <tl/expected.hpp>

namespace mustardshift {

/** Computes the configuration that a change leads to. The change applies wholly or not at all.

    ReplaceSchema keeps what operators have set by other changes: the keys of an organisation that
    the schema lists without keys, the drained failure domains, the state of each database that
    exists already, and the token secret, without which all sessions would end.

    @return  the new configuration, or an error: VersionPassed or VersionSkipped when
   aChange.version isn't aConfiguration.version + 1, otherwise Invalid. Thread safety: pure. */
tl::expected<Configuration, ConfigurationError> ApplyChange(const Configuration& aConfiguration,
                                                            const ConfigurationChange& aChange);

} // namespace mustardshift

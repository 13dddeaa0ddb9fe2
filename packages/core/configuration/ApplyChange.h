#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <tl/expected.hpp>

namespace mustardshift {

/** Returns the configuration that results from a change. The change is applied completely or not at
    all.

    ReplaceSchema keeps what operators have set with other changes: the keys of an organisation that
    the schema lists without keys, the drained failure domains, the state of each database that
    already exists, and the token secret, because a new secret would invalidate all sessions.

    @return  the new configuration, or an error: VersionPassed or VersionSkipped when
             aChange.version isn't aConfiguration.version + 1, otherwise Invalid.
    Thread safety: pure function. */
tl::expected<Configuration, ConfigurationError> ApplyChange(const Configuration& aConfiguration,
                                                            const ConfigurationChange& aChange);

} // namespace mustardshift

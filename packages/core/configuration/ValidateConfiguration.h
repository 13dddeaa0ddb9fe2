#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationError.h"

#include <string_view>
#include <tl/expected.hpp>

namespace mustardshift {

/** Returns whether a text is a valid name of an organisation, route, database, failure domain or
    key: 1 to 64 letters, digits, '.', '-' or '_', of which the first is a letter or a digit.
    Thread safety: pure function. */
bool IsWellFormedName(std::string_view aText);

/** Checks the rules for every configuration with a version above 0: names are well-formed and
    unique; a key's hash occurs only once in all organisations; rates are positive, bursts and
    weights at least 1; a database has three servers, whose addresses ("IPv4:port" or "[IPv6]:port")
    occur once over all databases, and at least one slot and connection; a route names a known
    database and, unless it is public, a known organisation; the token secret is 64 lower-case
    hexadecimal digits.

    @return  an error of kind Invalid that describes the first violated rule.
    Thread safety: pure function. */
tl::expected<void, ConfigurationError> ValidateConfiguration(const Configuration& aConfiguration);

} // namespace mustardshift

#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace mustardshift {

/** Longest encoded configuration or change, in bytes. The largest planned deployment, 870
    databases, takes about 0.3 MB. */
inline constexpr std::size_t kMaximumConfigurationBytes = std::size_t{ 4 } << 20U;

/** Encodes a configuration. The bytes are a format number (one byte), the first 16 bytes of the
    SHA-256 of the content, which detects damage, and the content as CBOR. They contain the token
    secret. Thread safety: pure. */
std::string EncodeConfiguration(const Configuration& aConfiguration);

/** Decodes a configuration. Checks the structure, not the rules of ValidateConfiguration. A missing
    or unknown field is an error, so that no VM acts on half of a configuration.
    Errors: Malformed. Thread safety: pure. */
tl::expected<Configuration, ConfigurationError> DecodeConfiguration(std::string_view aBytes);

/** Encodes a change, in the same layout. Thread safety: pure. */
std::string EncodeChange(const ConfigurationChange& aChange);

/** Decodes a change; see DecodeConfiguration. Errors: Malformed. Thread safety: pure. */
tl::expected<ConfigurationChange, ConfigurationError> DecodeChange(std::string_view aBytes);

} // namespace mustardshift

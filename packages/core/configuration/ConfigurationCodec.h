#pragma once

#include "core/configuration/Configuration.h"
#include "core/configuration/ConfigurationChange.h"
#include "core/configuration/ConfigurationError.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace mustardshift {

/** Maximum size of an encoded configuration or change, in bytes. The largest planned deployment,
    870 databases, takes about 0.3 MB. */
inline constexpr std::size_t kMaxConfigurationBytes = std::size_t{ 4 } << 20U;

/** Encodes a configuration. The layout is a format number (one byte), the first 16 bytes of the
    SHA-256 of the content, which serve as a checksum, and the content as CBOR. The content includes
    the token secret. Thread safety: pure function. */
std::string EncodeConfiguration(const Configuration& aConfiguration);

/** Decodes a configuration. Checks the structure, but not the rules of ValidateConfiguration(). A
    missing or unknown field is an error, so that no VM uses an incomplete configuration.
    Errors: Malformed. Thread safety: pure function. */
tl::expected<Configuration, ConfigurationError> DecodeConfiguration(std::string_view aBytes);

/** Encodes a change, in the layout of EncodeConfiguration(). Thread safety: pure function. */
std::string EncodeChange(const ConfigurationChange& aChange);

/** Decodes a change. Missing and unknown fields are errors, as in DecodeConfiguration().
    Errors: Malformed. Thread safety: pure function. */
tl::expected<ConfigurationChange, ConfigurationError> DecodeChange(std::string_view aBytes);

} // namespace mustardshift

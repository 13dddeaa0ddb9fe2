#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Why a configuration or a change is not accepted. */
enum class ConfigurationErrorKind
{
  /** The bytes can't be decoded. */
  Malformed,
  /** The content violates a rule of ValidateConfiguration(), for example a route whose database
      doesn't exist, or it names something unknown. */
  Invalid,
  /** The current version is equal or higher. */
  VersionPassed,
  /** Changes between the current version and this one are missing. */
  VersionSkipped,
};

inline constexpr std::array<std::pair<ConfigurationErrorKind, std::string_view>, 4>
  kConfigurationErrorKindNames{ {
    { ConfigurationErrorKind::Malformed, "malformed" },
    { ConfigurationErrorKind::Invalid, "invalid" },
    { ConfigurationErrorKind::VersionPassed, "version-passed" },
    { ConfigurationErrorKind::VersionSkipped, "version-skipped" },
  } };

/** The error of a configuration or a change that is not accepted. */
struct ConfigurationError
{
  ConfigurationErrorKind kind = ConfigurationErrorKind::Invalid;
  /** Description for operators, one sentence. Contains neither keys nor hashes. */
  std::string message;
};

} // namespace mustardshift

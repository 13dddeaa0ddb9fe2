#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Kinds of reasons why a configuration or a change is not accepted. */
enum class ConfigurationErrorKind
{
  /** The bytes can't be decoded. */
  Malformed,
  /** The content breaks a rule, for example a route that names no database. */
  Invalid,
  /** The present version is as high or higher. */
  VersionPassed,
  /** Changes between the present version and this one are missing. */
  VersionSkipped,
};

inline constexpr std::array<std::pair<ConfigurationErrorKind, std::string_view>, 4>
  kConfigurationErrorKindNames{ {
    { ConfigurationErrorKind::Malformed, "malformed" },
    { ConfigurationErrorKind::Invalid, "invalid" },
    { ConfigurationErrorKind::VersionPassed, "version-passed" },
    { ConfigurationErrorKind::VersionSkipped, "version-skipped" },
  } };

/** Why a configuration or a change is not accepted. */
struct ConfigurationError
{
  ConfigurationErrorKind kind = ConfigurationErrorKind::Invalid;
  /** One sentence for operators, without keys or hashes. */
  std::string message;
};

} // namespace mustardshift

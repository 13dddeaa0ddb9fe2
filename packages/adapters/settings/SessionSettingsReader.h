#pragma once

#include "adapters/settings/InputError.h"
#include "adapters/settings/SessionSettings.h"

#include <map>
#include <string>
#include <tl/expected.hpp>

namespace mustardshift {

/** Reads the settings of a daemon that serves sessions, a YAML file. All faults are reported
    together, and settings are returned only when there are none.

    A template can leave an optional setting without its figure where a deployment doesn't give one,
    as in "rate_window: s". Such a setting counts as not given. An optional setting that the file
    doesn't give can be given by an environment variable, named like the key in capitals behind
    kEnvironmentPrefix.

    Thread safety: stateless; may be used from any thread. */
class SessionSettingsReader
{
public:
  using Environment = std::map<std::string, std::string>;

  static constexpr const char* kEnvironmentPrefix = "MUSTARDSHIFT_";

  /** Reads a file. An unreadable file is a fault too. */
  tl::expected<SessionSettings, InputErrors> ReadFile(const std::string& aPath,
                                                      const Environment& aEnvironment = {}) const;

  /** Reads a text.
      @param aName  name of the text, as faults show it. */
  tl::expected<SessionSettings, InputErrors> ReadText(const std::string& aText,
                                                      const std::string& aName,
                                                      const Environment& aEnvironment = {}) const;
};

} // namespace mustardshift

#pragma once

#include "adapters/settings/InputError.h"
#include "adapters/settings/SessionSettings.h"

#include <string>
#include <tl/expected.hpp>

namespace mustardshift {

/** Reads the settings of a daemon that serves sessions, a YAML file. All faults are reported
    together, and settings are returned only when there are none.

    Thread safety: stateless; may be used from any thread. */
class SessionSettingsReader
{
public:
  /** Reads a file. An unreadable file is a fault too. */
  tl::expected<SessionSettings, InputErrors> ReadFile(const std::string& aPath) const;

  /** Reads a text.
      @param aName  name of the text, as faults show it. */
  tl::expected<SessionSettings, InputErrors> ReadText(const std::string& aText,
                                                      const std::string& aName) const;
};

} // namespace mustardshift

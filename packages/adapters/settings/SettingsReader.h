#pragma once

#include "adapters/settings/DaemonSettings.h"
#include "adapters/settings/InputError.h"

#include <string>
#include <tl/expected.hpp>

namespace mustardshift {

/** Reads the daemon's settings, a YAML file. All faults are reported together, and settings are
    returned only when there are none.

    Thread safety: stateless; may be used from any thread. */
class SettingsReader
{
public:
  /** Reads a file. An unreadable file is a fault too. */
  tl::expected<DaemonSettings, InputErrors> ReadFile(const std::string& aPath) const;

  /** Reads a text.
      @param aName  name of the text, as faults show it. */
  tl::expected<DaemonSettings, InputErrors> ReadText(const std::string& aText,
                                                     const std::string& aName) const;
};

} // namespace mustardshift

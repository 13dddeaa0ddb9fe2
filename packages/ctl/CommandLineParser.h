#pragma once

#include "ctl/CommandLine.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace mustardshift {

/** Parses the arguments behind the program's name. On a fault, returns one line that names the
    argument and what was expected. Unlike absl::ParseCommandLine it doesn't end the process, whose
    exit code 1 would tell scripts of an internal fault.

    Thread safety: one thread at a time, since Abseil's flags are global. */
tl::expected<CommandLine, std::string> ParseCtlCommandLine(
  const std::vector<std::string>& aArguments);

/** Returns the text of --help: commands, flags and exit codes. */
std::string CtlUsage();

} // namespace mustardshift

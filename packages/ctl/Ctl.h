#pragma once

#include "ctl/ExitCode.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace mustardshift {

/** Runs mustardshiftctl.

    @param aArguments  the arguments behind the program's name.
    @param aOut        receives results, keys and the usage that was asked for.
    @param aError      receives everything that went wrong, unless --output=json puts it into the
                       result.
    @return the exit code.

    Thread safety: one call at a time, since Abseil's flags are global. */
ExitCode RunCtl(const std::vector<std::string>& aArguments,
                std::ostream& aOut,
                std::ostream& aError);

} // namespace mustardshift

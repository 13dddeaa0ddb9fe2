#pragma once

#include "adapters/log/Component.h"
#include "adapters/log/LogLevel.h"

#include <string_view>

namespace mustardshift {

/** Sets the least severe level that is written; Info before the first call.
    Thread safety: may be called from any thread at any time. */
void SetLogLevel(LogLevel aLevel);

/** Tells whether lines of this level are written. Thread safety: any thread; does not block. */
bool IsLogLevelOn(LogLevel aLevel);

/** Writes one line to standard error: "TIME LEVEL COMPONENT: MESSAGE", with the time in UTC.
    Control characters in the message are replaced by spaces, so that a message is always one
    line. Callers pass neither keys nor values of statements.

    Thread safety: may be called from any thread after static initialisation; lines never
    interleave. */
void WriteLogLine(Component aComponent, LogLevel aLevel, std::string_view aMessage);

} // namespace mustardshift

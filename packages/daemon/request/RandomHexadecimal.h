#pragma once

#include <cstddef>
#include <string>

namespace mustardshift {

/** Returns cryptographically secure random bytes as lower-case hexadecimal digits, two for each
    byte. Ends the process if the system's random generator fails, since no secret can be made
    without it. Thread safety: may be called from any thread. */
std::string RandomHexadecimal(std::size_t aBytes);

} // namespace mustardshift

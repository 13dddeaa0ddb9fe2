#pragma once

#include <cstddef>
#include <string>

namespace mustardshift {

/** Returns random bytes that nobody can guess, as lower-case hexadecimal digits, two for each byte.
    Ends the process if the system gives no randomness, since no secret could be made without it.
    Thread safety: may be called from any thread. */
std::string RandomHexadecimal(std::size_t aBytes);

} // namespace mustardshift

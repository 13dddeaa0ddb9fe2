#pragma once

#include <string>
#include <string_view>

namespace mustardshift {

/** Returns the SHA-256 of a text: 64 lower-case hexadecimal digits.
    Thread safety: pure function. */
std::string Sha256Hex(std::string_view aText);

/** Returns whether a text has the form of a SHA-256: 64 lower-case hexadecimal digits.
    Thread safety: pure function. */
bool IsSha256Hex(std::string_view aText);

} // namespace mustardshift

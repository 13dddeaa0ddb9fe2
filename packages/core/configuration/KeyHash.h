#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mustardshift {

/** Longest key that a client may present, in bytes. */
inline constexpr std::size_t kMaximumKeyBytes = 256;

/** Whether a key may be issued: 1 to kMaximumKeyBytes bytes, all printable ASCII (spaces included).
    Thread safety: pure. */
bool IsWellFormedKey(std::string_view aKey);

/** SHA-256 of a key as ApiKey::hash keeps it: 64 lower-case hexadecimal digits.
    Thread safety: pure. */
std::string KeyHash(std::string_view aKey);

/** Whether the text is 64 lower-case hexadecimal digits. Thread safety: pure. */
bool IsSha256Hex(std::string_view aText);

} // namespace mustardshift

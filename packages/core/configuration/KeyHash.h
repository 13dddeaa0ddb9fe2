#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mustardshift {

/** Maximum length of a key, in bytes. */
inline constexpr std::size_t kMaxKeyBytes = 256;

/** Returns whether a key is well-formed: 1 to kMaxKeyBytes bytes, all printable ASCII (spaces
    included). Thread safety: pure function. */
bool IsWellFormedKey(std::string_view aKey);

/** Returns the SHA-256 of a key in the form of ApiKey::hash: 64 lower-case hexadecimal digits.
    Thread safety: pure function. */
std::string KeyHash(std::string_view aKey);

} // namespace mustardshift

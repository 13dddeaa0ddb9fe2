#pragma once

#include <optional>
#include <string>

namespace mustardshift {

/** A new key, and the hash that stands for it in the configuration. */
struct GeneratedApiKey
{
  /** "msk_" and 64 hexadecimal digits: 256 random bits. */
  std::string key;
  /** SHA-256 of the key's text, 64 lower-case hexadecimal digits. */
  std::string hash;
};

/** Makes a key from OpenSSL's random number generator; nothing when that fails.
    Thread safety: may be called from any thread. */
std::optional<GeneratedApiKey> GenerateApiKey();

/** Makes an operation id from 128 random bits; nothing when the random number generator fails.
    Thread safety: may be called from any thread. */
std::optional<std::string> GenerateOperationId();

} // namespace mustardshift

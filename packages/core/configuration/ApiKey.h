#pragma once

#include <string>

namespace mustardshift {

/** A caller's API key as stored in the configuration: its SHA-256 hash, never the key itself. */
struct ApiKey
{
  /** Name by which operators refer to the key. */
  std::string name;
  /** SHA-256 of the key, 64 lower-case hexadecimal digits. */
  std::string hash;

  friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

} // namespace mustardshift

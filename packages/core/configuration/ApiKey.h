#pragma once

#include <string>

namespace mustardshift {

/** A caller's key as the configuration keeps it: its SHA-256 hash, never the key itself. */
struct ApiKey
{
  /** Name that operators use for the key. */
  std::string name;
  /** SHA-256 of the key, 64 lower-case hexadecimal digits. */
  std::string hash;

  friend bool operator==(const ApiKey&, const ApiKey&) = default;
};

} // namespace mustardshift

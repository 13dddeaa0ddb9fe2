#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Whether reads use a server. */
enum class ServerUse
{
  Used,
  /** Reads avoid it. */
  Ejected,
  /** A few reads test whether it can be used again. */
  Probed,
};

inline constexpr std::array<std::pair<ServerUse, std::string_view>, 3> kServerUseNames{ {
  { ServerUse::Used, "used" },
  { ServerUse::Ejected, "ejected" },
  { ServerUse::Probed, "probed" },
} };

} // namespace mustardshift::proxy

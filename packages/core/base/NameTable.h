#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Returns the name that aTable gives for an enumerator, or "unknown" when the enumerator is
    missing from the table. Thread safety: pure function. */
template<class Enum, std::size_t Size>
std::string_view NameOf(const std::array<std::pair<Enum, std::string_view>, Size>& aTable,
                        Enum aValue)
{
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/** Returns the enumerator that has a name in aTable, or nothing when there is none.
    Thread safety: pure function. */
template<class Enum, std::size_t Size>
std::optional<Enum> ValueOf(const std::array<std::pair<Enum, std::string_view>, Size>& aTable,
                            std::string_view aName)
{
  for (const auto& [value, name] : aTable) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace mustardshift

#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Looks an enumerator's name up in its table. Returns "unknown" when the table lacks it.
    Thread safety: pure. */
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

/** Looks an enumerator up by its name. Thread safety: pure. */
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

#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Form of what mustardshiftctl prints. */
enum class OutputFormat
{
  Text,
  Json,
};

inline constexpr std::array<std::pair<OutputFormat, std::string_view>, 2> kOutputFormatNames{ {
  { OutputFormat::Text, "text" },
  { OutputFormat::Json, "json" },
} };

} // namespace mustardshift

#pragma once

#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace mustardshift {

/** Returns the number in aValue as a T. Unlike nlohmann's get<T>(), it neither wraps nor truncates:
    a value of another type, a fraction, or a number outside [aMin, aMax] throws
    nlohmann::json::out_of_range. Thread safety: pure. */
template<std::integral T>
T IntegerOf(const nlohmann::json& aValue,
            T aMin = std::numeric_limits<T>::min(),
            T aMax = std::numeric_limits<T>::max())
{
  // Every whole number up to this size has an exact representation as a double.
  constexpr double kMaxExactDouble = 9007199254740992.0;
  const auto isWithin = [&](auto aNumber) {
    return std::cmp_greater_equal(aNumber, aMin) && std::cmp_less_equal(aNumber, aMax);
  };
  if (aValue.is_number_unsigned()) {
    const auto number = aValue.get<std::uint64_t>();
    if (isWithin(number)) {
      return static_cast<T>(number);
    }
  } else if (aValue.is_number_integer()) {
    const auto number = aValue.get<std::int64_t>();
    if (isWithin(number)) {
      return static_cast<T>(number);
    }
  } else if (aValue.is_number_float()) {
    const auto number = aValue.get<double>();
    if (std::abs(number) <= kMaxExactDouble && std::trunc(number) == number &&
        isWithin(static_cast<std::int64_t>(number))) {
      return static_cast<T>(number);
    }
  }
  throw nlohmann::json::out_of_range::create(
    401, "not a whole number in the permitted range", &aValue);
}

/** Returns the number in aValue; throws nlohmann::json::out_of_range unless it lies in [aMin,
   aMax]. Thread safety: pure. */
inline double DoubleOf(const nlohmann::json& aValue, double aMin, double aMax)
{
  const double number = aValue.is_number() ? aValue.get<double>() : std::nan("");
  // The negation also rejects NaN.
  if (!(number >= aMin && number <= aMax)) {
    throw nlohmann::json::out_of_range::create(401, "not a number in the permitted range", &aValue);
  }
  return number;
}

} // namespace mustardshift

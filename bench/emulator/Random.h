#pragma once

#include "core/base/Instant.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace mustardshift::bench {

/** Seeded draws for the emulations. Thread safety: none. */
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine(aSeed)
  {
  }

  /** Exponentially distributed time between arrivals. Precondition: aPerSecond > 0. */
  Duration Gap(double aPerSecond)
  {
    const double seconds = std::exponential_distribution<double>(aPerSecond)(this->engine);
    return Duration(static_cast<Duration::rep>(seconds * 1e6) + 1);
  }

  /** Uniform between both, included. */
  Duration Between(Duration aLow, Duration aHigh)
  {
    return Duration(
      std::uniform_int_distribution<Duration::rep>(aLow.count(), aHigh.count())(this->engine));
  }

  /** Uniform from 0 to aSize - 1. Precondition: aSize > 0. */
  std::size_t Index(std::size_t aSize)
  {
    return std::uniform_int_distribution<std::size_t>(0, aSize - 1)(this->engine);
  }

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(this->engine) < aShare;
  }

  std::mt19937_64& Engine() { return this->engine; }

private:
  std::mt19937_64 engine;
};

} // namespace mustardshift::bench

#pragma once

#include <string>
#include <utility>
#include <vector>

namespace mustardshift::bench {

/** One line of the emulator's output. */
struct Measure
{
  std::string name;
  std::string deployment;
  std::string unit;
  double figure = 0;
  /** The same figure of the baseline, from the same run. */
  double baseline = 0;
  double bound = 0;
  /** True when the figure must not be below the bound; otherwise it must not be above it. */
  bool isLowerBound = false;
  std::string baselineName;
  /** Further figures, shown behind the line. */
  std::vector<std::pair<std::string, double>> details;

  bool IsWithin(double aFigure) const
  {
    return this->isLowerBound ? aFigure >= this->bound : aFigure <= this->bound;
  }
  bool IsOk() const { return this->IsWithin(this->figure); }
};

} // namespace mustardshift::bench

#pragma once

#include "emulator/Measure.h"

#include <string>
#include <vector>

namespace mustardshift::bench {

/** One line a measure, for people. Thread safety: pure. */
std::string ToText(const std::vector<Measure>& aMeasures);

/** An array of measures. Thread safety: pure. */
std::string ToJson(const std::vector<Measure>& aMeasures);

/** A bar chart of one measure: figure, baseline and bound. Thread safety: pure. */
std::string ToSvg(const Measure& aMeasure);

} // namespace mustardshift::bench

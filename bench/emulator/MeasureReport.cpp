#include "emulator/MeasureReport.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>

namespace mustardshift::bench {

namespace {

std::string Number(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.5g", aValue);
  return text.data();
}

} // namespace

std::string ToText(const std::vector<Measure>& aMeasures)
{
  std::ostringstream text;
  for (const Measure& measure : aMeasures) {
    text << measure.name << " " << measure.deployment << " figure=" << Number(measure.figure)
         << " baseline=" << Number(measure.baseline) << " (" << measure.baselineName << ")"
         << " bound" << (measure.isLowerBound ? ">=" : "<=") << Number(measure.bound) << " "
         << measure.unit << " " << (measure.IsOk() ? "ok" : "NOT OK");
    for (const auto& [name, value] : measure.details) {
      text << " " << name << "=" << Number(value);
    }
    text << "\n";
  }
  return text.str();
}

std::string ToJson(const std::vector<Measure>& aMeasures)
{
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const Measure& measure : aMeasures) {
    nlohmann::ordered_json one{
      { "name", measure.name },         { "deployment", measure.deployment },
      { "unit", measure.unit },         { "figure", measure.figure },
      { "baseline", measure.baseline }, { "baseline_name", measure.baselineName },
      { "bound", measure.bound },       { "bound_is", measure.isLowerBound ? "lowest" : "highest" },
      { "ok", measure.IsOk() }
    };
    nlohmann::ordered_json details = nlohmann::ordered_json::object();
    for (const auto& [name, value] : measure.details) {
      details[name] = value;
    }
    one["details"] = details;
    all.push_back(one);
  }
  return all.dump(2) + "\n";
}

std::string ToSvg(const Measure& aMeasure)
{
  constexpr double kWidth = 480;
  constexpr double kLeft = 130;
  constexpr double kBarHeight = 30;
  const std::array<std::pair<std::string, double>, 2> bars{
    { { "mustardshift", aMeasure.figure }, { aMeasure.baselineName, aMeasure.baseline } }
  };
  const double largest =
    std::max({ aMeasure.figure, aMeasure.baseline, aMeasure.bound, 1e-9 }) * 1.15;
  const auto x = [&](double aValue) { return kLeft + aValue / largest * (kWidth - kLeft - 60); };
  std::ostringstream svg;
  svg << R"(<svg xmlns="http://www.w3.org/2000/svg" width="480" height="150" )"
      << R"(font-family="sans-serif" font-size="12">)"
      << "\n<rect width=\"480\" height=\"150\" fill=\"white\"/>\n<text x=\"10\" y=\"20\" "
         "font-size=\"14\">"
      << aMeasure.name << ", " << aMeasure.deployment << " (" << aMeasure.unit << ")</text>\n";
  double y = 40;
  for (const auto& [name, value] : bars) {
    const bool isFigure = &name == &bars[0].first;
    svg << "<text x=\"10\" y=\"" << y + 20 << "\">" << name << "</text>\n<rect x=\"" << kLeft
        << "\" y=\"" << y << "\" width=\"" << x(value) - kLeft << "\" height=\"" << kBarHeight
        << "\" fill=\"" << (isFigure ? "#c79a00" : "#999999") << "\"/>\n<text x=\"" << x(value) + 4
        << "\" y=\"" << y + 20 << "\">" << Number(value) << "</text>\n";
    y += kBarHeight + 10;
  }
  svg << "<line x1=\"" << x(aMeasure.bound) << "\" y1=\"32\" x2=\"" << x(aMeasure.bound)
      << "\" y2=\"122\" stroke=\"#b00020\" stroke-dasharray=\"4 3\"/>\n<text x=\"10\" y=\"140\">"
      << "bound " << (aMeasure.isLowerBound ? "at least " : "at most ") << Number(aMeasure.bound)
      << (aMeasure.IsOk() ? ", met" : ", not met") << "</text>\n</svg>\n";
  return svg.str();
}

} // namespace mustardshift::bench

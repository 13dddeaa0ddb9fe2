#include "proxy/promotion/ChooseCandidate.h"

#include <algorithm>

namespace mustardshift::proxy {

std::optional<ServerId> ChooseCandidate(const std::map<ServerId, LogPosition>& aPositions)
{
  const auto best = std::max_element(
    aPositions.begin(), aPositions.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  if (best == aPositions.end()) {
    return std::nullopt;
  }
  return best->first;
}

} // namespace mustardshift::proxy

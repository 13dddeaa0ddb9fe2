#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace mustardshift::bench {

/** A reference deployment of docs/design/load-management.md. */
struct LoadDeployment
{
  std::string name;
  std::size_t vmCount = 0;
  /** Failure domains; the first three have one server of each group. */
  std::size_t domainCount = 3;
  std::size_t groupCount = 8;
  unsigned slots = 1;
  std::size_t organisationCount = 1;
  double operationsPerSecond = 0;
};

/** Returns H and V. Thread safety: pure. */
const std::vector<LoadDeployment>& LoadDeployments();

} // namespace mustardshift::bench

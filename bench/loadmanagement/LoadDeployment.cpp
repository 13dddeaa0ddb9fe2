#include "loadmanagement/LoadDeployment.h"

namespace mustardshift::bench {

const std::vector<LoadDeployment>& LoadDeployments()
{
  static const std::vector<LoadDeployment> kDeployments{
    { "H", 33, 3, 8, 6, 84, 1055 },
    { "V", 90, 4, 8, 4, 87, 1380 },
  };
  return kDeployments;
}

} // namespace mustardshift::bench

#pragma once

#include "core/base/Names.h"

#include <string>

namespace mustardshift {

/** A VM in the platform's list. The list lags behind in both directions. */
struct ListedVm
{
  /** "IP:port". */
  std::string address;
  FailureDomainName failureDomain;
  bool leaving = false;

  friend bool operator==(const ListedVm&, const ListedVm&) = default;
};

} // namespace mustardshift

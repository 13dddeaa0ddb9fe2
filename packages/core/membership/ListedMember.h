#pragma once

#include "core/base/Names.h"

#include <string>

namespace mustardshift {

/** A VM as the platform's list of VMs names it. The list lags behind. */
struct ListedMember
{
  VmId vm;
  /** Where the VM's peers reach it, "IP:port"; may be empty. */
  std::string peerAddress;
  bool isLeaving = false;

  friend bool operator==(const ListedMember&, const ListedMember&) = default;
};

} // namespace mustardshift

#pragma once

#include "core/base/Names.h"

#include <string>

namespace mustardshift {

/** An entry of the platform's list of VMs. The list may be out of date. */
struct ListedMember
{
  VmId vm;
  /** Address for connections from the VM's peers, "IP:port"; may be empty. */
  std::string peerAddress;
  /** True when the VM is about to be removed. */
  bool isLeaving = false;

  friend bool operator==(const ListedMember&, const ListedMember&) = default;
};

} // namespace mustardshift

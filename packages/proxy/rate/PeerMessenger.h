#pragma once

#include "core/base/Names.h"

#include <concepts>
#include <string>

namespace mustardshift::proxy {

/** Sends datagrams to other VMs. Datagrams may be lost, delayed, duplicated or reordered. */
template<class Messenger>
concept PeerMessenger = requires(Messenger aMessenger,
                                 const std::string& aAddress,
                                 const std::string& aBytes)
{
  aMessenger.Send(aAddress, aBytes);
};

} // namespace mustardshift::proxy

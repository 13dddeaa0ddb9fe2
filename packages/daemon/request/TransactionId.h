#pragma once

#include "core/base/Name.h"

namespace mustardshift {

/** Names a transaction; unguessable, and unique over all VMs. */
using TransactionId = Name<struct TransactionIdTag>;

} // namespace mustardshift

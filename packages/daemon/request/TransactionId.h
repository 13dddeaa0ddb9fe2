#pragma once

#include "core/base/Name.h"

namespace mustardshift {

/** Identifies a transaction; impossible to guess, and unique across all VMs. */
using TransactionId = Name<struct TransactionIdTag>;

} // namespace mustardshift

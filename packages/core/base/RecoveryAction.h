#pragma once

namespace mustardshift {

/** What a VM does about a fault while the request's deadline has not passed. */
enum class RecoveryAction
{
  /** Refuses the request. */
  Refuse,
  /** Sends the request, perhaps for another time. */
  Retry,
  /** Asks the servers whether their log holds the request id; never sends the request again. */
  LookUp,
};

} // namespace mustardshift

#pragma once

namespace mustardshift {

/** What a VM does after a fault, as long as the request's deadline has not passed. */
enum class RecoveryAction
{
  /** Refuses the request. */
  Refuse,
  /** Sends the request to a server. The request may have been sent to a server before. */
  Retry,
  /** Asks the servers whether their log holds the request id. The request is not sent again. */
  LookUp,
};

} // namespace mustardshift

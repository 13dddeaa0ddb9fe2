#pragma once

namespace mustardshift::proxy {

/** State of a session's transaction after a reply. */
enum class TransactionState
{
  /** No transaction is open. */
  Idle,
  Open,
  /** The transaction can only be rolled back. */
  Failed,
};

} // namespace mustardshift::proxy

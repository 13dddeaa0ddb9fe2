#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Fault that a VM found while it handled a request. */
enum class Fault
{
  Malformed,
  RouteUnknown,
  KeyMissing,
  KeyUnknown,
  OrganisationMismatch,
  TokenInvalid,
  RateExceeded,
  QueueFull,
  ConfigurationUntrusted,
  FailureDomainDrained,
  DatabaseDrained,
  VmDraining,
  NoPrimary,
  /** No replica has data recent enough for the read, and the primary can't serve it either. */
  NoEligibleReplica,
  TransactionUnknown,
  TransactionTimedOut,
  DeadlinePassed,
  /** The connection to the server is lost or, in RequestStep::Reply, the one to the client. */
  ConnectionLost,
  /** The server refused the request because it is in another term or is not the primary. */
  RefusedForTerm,
  /** The server refused the read because its log does not hold the required position yet. */
  RefusedAsBehind,
  StatementInvalid,
  Conflict,
  /** The server's answer is missing or can't be decoded, or a look-up of the request id could not
      tell whether the request ran. */
  AnswerLost,
  /** No majority of the servers reported that it holds the position in the position's term. */
  MajorityNotConfirmed,
  Internal,
};

inline constexpr std::array<std::pair<Fault, std::string_view>, 25> kFaultNames{ {
  { Fault::Malformed, "malformed" },
  { Fault::RouteUnknown, "route-unknown" },
  { Fault::KeyMissing, "key-missing" },
  { Fault::KeyUnknown, "key-unknown" },
  { Fault::OrganisationMismatch, "organisation-mismatch" },
  { Fault::TokenInvalid, "token-invalid" },
  { Fault::RateExceeded, "rate-exceeded" },
  { Fault::QueueFull, "queue-full" },
  { Fault::ConfigurationUntrusted, "configuration-untrusted" },
  { Fault::FailureDomainDrained, "failure-domain-drained" },
  { Fault::DatabaseDrained, "database-drained" },
  { Fault::VmDraining, "vm-draining" },
  { Fault::NoPrimary, "no-primary" },
  { Fault::NoEligibleReplica, "no-eligible-replica" },
  { Fault::TransactionUnknown, "transaction-unknown" },
  { Fault::TransactionTimedOut, "transaction-timed-out" },
  { Fault::DeadlinePassed, "deadline-passed" },
  { Fault::ConnectionLost, "connection-lost" },
  { Fault::RefusedForTerm, "refused-for-term" },
  { Fault::RefusedAsBehind, "refused-as-behind" },
  { Fault::StatementInvalid, "statement-invalid" },
  { Fault::Conflict, "conflict" },
  { Fault::AnswerLost, "answer-lost" },
  { Fault::MajorityNotConfirmed, "majority-not-confirmed" },
  { Fault::Internal, "internal" },
} };

} // namespace mustardshift

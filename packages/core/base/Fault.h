#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** What went wrong with a request. */
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
  /** No replica is fresh enough, and the primary can't serve the read either. */
  NoEligibleReplica,
  TransactionUnknown,
  TransactionTimedOut,
  DeadlinePassed,
  /** The connection to the server, or at the reply the one to the client, is lost. */
  ConnectionLost,
  /** The server says that it is in another term or not the primary. */
  RefusedForTerm,
  /** The server says that its log does not hold the position yet. */
  RefusedAsBehind,
  StatementInvalid,
  Conflict,
  /** No answer, an unreadable one, or a look-up that did not settle the matter. */
  AnswerLost,
  /** No majority of the servers reported the position under its term. */
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

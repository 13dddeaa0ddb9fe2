#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift {

/** Why a request was refused. */
enum class Reason
{
  RequestMalformed,
  KeyMissing,
  KeyUnknown,
  RouteUnknown,
  OrganisationMismatch,
  TokenInvalid,
  RateExceeded,
  QueueFull,
  DeadlineExceeded,
  ConfigurationUntrusted,
  FailureDomainDrained,
  DatabaseDrained,
  VmDraining,
  NoPrimary,
  NoEligibleReplica,
  WrongTerm,
  ConnectionFailed,
  AnswerLost,
  NotAcknowledged,
  StatementInvalid,
  TransactionConflict,
  TransactionUnknown,
  TransactionTimedOut,
  Internal,
};

inline constexpr std::array<std::pair<Reason, std::string_view>, 24> kReasonNames{ {
  { Reason::RequestMalformed, "request-malformed" },
  { Reason::KeyMissing, "key-missing" },
  { Reason::KeyUnknown, "key-unknown" },
  { Reason::RouteUnknown, "route-unknown" },
  { Reason::OrganisationMismatch, "organisation-mismatch" },
  { Reason::TokenInvalid, "token-invalid" },
  { Reason::RateExceeded, "rate-exceeded" },
  { Reason::QueueFull, "queue-full" },
  { Reason::DeadlineExceeded, "deadline-exceeded" },
  { Reason::ConfigurationUntrusted, "configuration-untrusted" },
  { Reason::FailureDomainDrained, "failure-domain-drained" },
  { Reason::DatabaseDrained, "database-drained" },
  { Reason::VmDraining, "vm-draining" },
  { Reason::NoPrimary, "no-primary" },
  { Reason::NoEligibleReplica, "no-eligible-replica" },
  { Reason::WrongTerm, "wrong-term" },
  { Reason::ConnectionFailed, "connection-failed" },
  { Reason::AnswerLost, "answer-lost" },
  { Reason::NotAcknowledged, "not-acknowledged" },
  { Reason::StatementInvalid, "statement-invalid" },
  { Reason::TransactionConflict, "transaction-conflict" },
  { Reason::TransactionUnknown, "transaction-unknown" },
  { Reason::TransactionTimedOut, "transaction-timed-out" },
  { Reason::Internal, "internal" },
} };

/** Returns the reason's name. Thread safety: pure function. */
std::string_view ToString(Reason aReason);

} // namespace mustardshift

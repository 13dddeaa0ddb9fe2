#include "core/base/VerdictTable.h"

#include <array>
#include <cstddef>
#include <initializer_list>
#include <optional>
#include <string_view>

namespace mustardshift {

namespace {

/** Kinds of requests that a row applies to. */
enum class Scope
{
  All,
  Reads,
};

/** Whether another attempt at the request can succeed while the deadline has not passed. */
enum class FaultPersistence
{
  Permanent,
  Transient,
};

struct Entry
{
  Verdict verdict = Verdict::MayHaveRun;
  Reason reason = Reason::Internal;
};

struct Row
{
  Fault fault;
  Scope scope;
  FaultPersistence persistence;
  std::string_view message;
  std::array<std::optional<Entry>, kRequestStepNames.size()> steps;
};

/** Builds the row of a fault.

    @param aVerdicts  one character per step: 'n' for NotRun, 'm' for MayHaveRun, and '.' where the
                      fault can't occur. */
constexpr Row MakeRow(Fault aFault,
                      Scope aScope,
                      FaultPersistence aPersistence,
                      Reason aReason,
                      std::string_view aVerdicts,
                      std::string_view aMessage)
{
  Row row{ aFault, aScope, aPersistence, aMessage, {} };
  for (std::size_t step = 0; step < row.steps.size(); ++step) {
    if (aVerdicts[step] != '.') {
      row.steps[step] =
        Entry{ aVerdicts[step] == 'n' ? Verdict::NotRun : Verdict::MayHaveRun, aReason };
    }
  }
  return row;
}

constexpr auto kAll = Scope::All;
constexpr auto kReads = Scope::Reads;
constexpr auto kPermanent = FaultPersistence::Permanent;
constexpr auto kTransient = FaultPersistence::Transient;

// Columns: parse, authenticate, admit, queue, connect, send, await answer, acknowledge, reply.
// clang-format off
constexpr std::array<Row, kFaultNames.size()> kRows{ {
  MakeRow(Fault::Malformed, kAll, kPermanent, Reason::RequestMalformed,
          "n........", "the request is malformed"),
  MakeRow(Fault::RouteUnknown, kAll, kPermanent, Reason::RouteUnknown,
          ".n.......", "the route is unknown"),
  MakeRow(Fault::KeyMissing, kAll, kPermanent, Reason::KeyMissing,
          ".n.......", "the route needs a key"),
  // A key can be revoked while a request that uses it waits in the queue.
  MakeRow(Fault::KeyUnknown, kAll, kPermanent, Reason::KeyUnknown,
          ".nnnn....", "the key is unknown or revoked"),
  MakeRow(Fault::OrganisationMismatch, kAll, kPermanent, Reason::OrganisationMismatch,
          ".n.......", "the key belongs to another organisation"),
  MakeRow(Fault::TokenInvalid, kAll, kPermanent, Reason::TokenInvalid,
          ".n.......", "the session token is invalid"),
  MakeRow(Fault::RateExceeded, kAll, kPermanent, Reason::RateExceeded,
          "..nn.....", "the organisation's rate is exceeded"),
  MakeRow(Fault::QueueFull, kAll, kPermanent, Reason::QueueFull,
          "..nn.....", "the queue is full"),
  MakeRow(Fault::ConfigurationUntrusted, kAll, kPermanent, Reason::ConfigurationUntrusted,
          ".nnnn....", "this VM's configuration is not confirmed"),
  MakeRow(Fault::FailureDomainDrained, kAll, kPermanent, Reason::FailureDomainDrained,
          "..nnn....", "the failure domain is drained"),
  MakeRow(Fault::DatabaseDrained, kAll, kPermanent, Reason::DatabaseDrained,
          "..nnn....", "the database is drained"),
  MakeRow(Fault::VmDraining, kAll, kPermanent, Reason::VmDraining,
          "n.nnn....", "this VM is draining"),
  MakeRow(Fault::NoPrimary, kAll, kTransient, Reason::NoPrimary,
          "..nnn....", "the database has no known primary"),
  MakeRow(Fault::NoEligibleReplica, kReads, kTransient, Reason::NoEligibleReplica,
          "..nnn....", "no server can serve the read"),
  MakeRow(Fault::TransactionUnknown, kAll, kPermanent, Reason::TransactionUnknown,
          "..n......", "the transaction is unknown on this VM"),
  MakeRow(Fault::TransactionTimedOut, kAll, kPermanent, Reason::TransactionTimedOut,
          "..nnnmm..", "the transaction exceeded its time limit"),
  MakeRow(Fault::DeadlinePassed, kAll, kPermanent, Reason::DeadlineExceeded,
          "nnnnnmmmm", "the deadline has passed"),
  MakeRow(Fault::ConnectionLost, kAll, kTransient, Reason::ConnectionFailed,
          "....nmm.m", "the connection is lost"),
  MakeRow(Fault::RefusedForTerm, kAll, kTransient, Reason::WrongTerm,
          "......n..", "the server is in another term"),
  MakeRow(Fault::RefusedAsBehind, kReads, kTransient, Reason::NoEligibleReplica,
          "......n..", "the server does not hold the session's position yet"),
  MakeRow(Fault::StatementInvalid, kAll, kPermanent, Reason::StatementInvalid,
          "......n..", "the server refused the statement"),
  // Not retried: only the caller can tell whether its statements are still correct after the
  // concurrent transaction.
  MakeRow(Fault::Conflict, kAll, kPermanent, Reason::TransactionConflict,
          "......n..", "it conflicts with present data or a concurrent transaction"),
  MakeRow(Fault::AnswerLost, kAll, kTransient, Reason::AnswerLost,
          "......m..", "the server's answer is lost"),
  // Applies to reads at the primary too: they wait until a majority holds the position they read.
  MakeRow(Fault::MajorityNotConfirmed, kAll, kTransient, Reason::NotAcknowledged,
          ".......m.", "no majority of the servers confirmed the position"),
  MakeRow(Fault::Internal, kAll, kPermanent, Reason::Internal,
          "nnnnnmmmm", "internal fault"),
} };
// clang-format on

constexpr bool AreRowsInOrder()
{
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    if (kRows[i].fault != static_cast<Fault>(i)) {
      return false;
    }
  }
  return true;
}
static_assert(AreRowsInOrder(), "rows must be in the order of the enumerators of Fault");

const Row& RowOf(Fault aFault)
{
  return kRows[static_cast<std::size_t>(aFault)];
}

std::optional<Entry> Find(RequestStep aStep, Fault aFault, const RequestKind& aKind)
{
  const Row& row = RowOf(aFault);
  if (row.scope == Scope::Reads && !aKind.isRead) {
    return std::nullopt;
  }
  return row.steps[static_cast<std::size_t>(aStep)];
}

} // namespace

bool CanOccur(RequestStep aStep, Fault aFault, const RequestKind& aKind)
{
  return Find(aStep, aFault, aKind).has_value();
}

Refusal RefusalFor(RequestStep aStep, Fault aFault, const RequestKind& aKind)
{
  const std::optional<Entry> entry = Find(aStep, aFault, aKind);
  if (!entry) {
    return { Verdict::MayHaveRun, Reason::Internal, "internal fault: an impossible combination" };
  }
  const Verdict verdict = aKind.mayHaveRunBefore ? Verdict::MayHaveRun : entry->verdict;
  return { verdict, entry->reason, std::string(RowOf(aFault).message) };
}

RecoveryAction RecoveryActionFor(RequestStep aStep, Fault aFault, const RequestKind& aKind)
{
  const std::optional<Entry> entry = Find(aStep, aFault, aKind);
  if (!entry || RowOf(aFault).persistence == FaultPersistence::Permanent ||
      aStep == RequestStep::Reply) {
    return RecoveryAction::Refuse;
  }
  const bool mayHaveRun = entry->verdict == Verdict::MayHaveRun || aKind.mayHaveRunBefore;
  if (!mayHaveRun || aKind.isRepeatable || aKind.isRead) {
    return RecoveryAction::Retry;
  }
  return RecoveryAction::LookUp;
}

} // namespace mustardshift

#include "core/rate/QuotaLoanLedger.h"

#include "core/base/Assert.h"

#include <algorithm>

namespace mustardshift {

std::optional<std::uint64_t> QuotaLoanLedger::Lend(const QuotaLoanRequest& aRequest,
                                                   QuotaUnits aUnits,
                                                   Instant aReturnsAt)
{
  MUSTARDSHIFT_ASSERT(aUnits > 0);
  if (this->lentLoans.size() >= kMaxLoans) {
    return std::nullopt;
  }
  for (const LentLoan& loan : this->lentLoans) {
    if (loan.borrower == aRequest.borrower &&
        loan.borrowerIncarnation == aRequest.borrowerIncarnation &&
        loan.requestNumber == aRequest.number) {
      return std::nullopt;
    }
  }
  const std::uint64_t number = ++this->lastNumber;
  this->lentLoans.push_back({ number,
                              aRequest.borrower,
                              aRequest.borrowerIncarnation,
                              aRequest.number,
                              aUnits,
                              aReturnsAt });
  this->UpdateTotals();
  return number;
}

const QuotaLoanLedger::LentLoan* QuotaLoanLedger::FindLoanToExtend(
  const QuotaLoanRequest& aRequest) const
{
  if (!aRequest.extends) {
    return nullptr;
  }
  for (const LentLoan& loan : this->lentLoans) {
    if (loan.number == aRequest.extends->number && loan.borrower == aRequest.borrower &&
        loan.borrowerIncarnation == aRequest.borrowerIncarnation) {
      return &loan;
    }
  }
  return nullptr;
}

void QuotaLoanLedger::Extend(const QuotaLoanRequest& aRequest,
                             QuotaUnits aUnits,
                             Instant aReturnsAt)
{
  const LentLoan* found = this->FindLoanToExtend(aRequest);
  MUSTARDSHIFT_ASSERT(found != nullptr && aUnits > 0 && aUnits <= found->units);
  LentLoan& loan = this->lentLoans[static_cast<std::size_t>(found - this->lentLoans.data())];
  if (aUnits < loan.units) {
    // The borrower may not receive the reply that reduces the loan, so the rest stays lent until
    // the previous end of the loan. Number zero ensures that no request can extend the rest.
    LentLoan rest = loan;
    rest.number = 0;
    rest.units = loan.units - aUnits;
    loan.units = aUnits;
    loan.returnsAt = std::max(loan.returnsAt, aReturnsAt);
    this->lentLoans.push_back(rest);
  } else {
    loan.returnsAt = std::max(loan.returnsAt, aReturnsAt);
  }
  this->UpdateTotals();
}

bool QuotaLoanLedger::Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent)
{
  const Instant deadline = aRequestSent + std::min(aGrant.duration, kMaxQuotaLoanDuration);
  if (aGrant.units <= 0 || deadline <= aNow) {
    return false;
  }
  const auto existingLoan =
    std::find_if(this->borrowedLoans.begin(),
                 this->borrowedLoans.end(),
                 [&](const BorrowedLoan& aLoan) { return aLoan.loan == aGrant.loan; });
  if (aGrant.isExtension) {
    if (existingLoan == this->borrowedLoans.end() || aRequestSent <= existingLoan->requestSent) {
      return false;
    }
    existingLoan->units = std::min(existingLoan->units, aGrant.units);
    existingLoan->deadline = deadline;
    existingLoan->requestSent = aRequestSent;
    this->UpdateTotals();
    return true;
  }
  if (existingLoan != this->borrowedLoans.end() || this->borrowedLoans.size() >= kMaxLoans) {
    return false;
  }
  this->borrowedLoans.push_back({ aGrant.loan, aGrant.units, deadline, aRequestSent, Instant{} });
  this->UpdateTotals();
  return true;
}

void QuotaLoanLedger::DelayExtensionRequest(const QuotaLoanId& aLoan, Instant aUntil)
{
  for (BorrowedLoan& loan : this->borrowedLoans) {
    if (loan.loan == aLoan) {
      loan.nextExtensionRequestAt = aUntil;
    }
  }
}

void QuotaLoanLedger::RemoveExpired(Instant aNow)
{
  std::erase_if(this->lentLoans, [&](const LentLoan& aLoan) { return aLoan.returnsAt <= aNow; });
  std::erase_if(this->borrowedLoans,
                [&](const BorrowedLoan& aLoan) { return aLoan.deadline <= aNow; });
  this->UpdateTotals();
}

std::optional<Instant> QuotaLoanLedger::NextExpiry() const
{
  std::optional<Instant> next;
  for (const LentLoan& loan : this->lentLoans) {
    next = std::min(next.value_or(loan.returnsAt), loan.returnsAt);
  }
  for (const BorrowedLoan& loan : this->borrowedLoans) {
    next = std::min(next.value_or(loan.deadline), loan.deadline);
  }
  return next;
}

void QuotaLoanLedger::UpdateTotals()
{
  this->lentUnits = 0;
  for (const LentLoan& loan : this->lentLoans) {
    this->lentUnits += loan.units;
  }
  this->borrowedUnits = 0;
  for (const BorrowedLoan& loan : this->borrowedLoans) {
    this->borrowedUnits += loan.units;
  }
}

} // namespace mustardshift

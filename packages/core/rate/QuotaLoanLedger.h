#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/rate/QuotaLoanGrant.h"
#include "core/rate/QuotaLoanId.h"
#include "core/rate/QuotaLoanRequest.h"
#include "core/rate/QuotaUnits.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mustardshift {

/** What one VM has lent and borrowed of one organisation's quota, and until when. It knows nothing
    of tokens; OrganisationQuota moves these along.

    Thread safety: none; one thread owns the book. */
class QuotaLoanLedger
{
public:
  /** Most loans of one organisation that a VM gives, and that it takes, at a time. */
  static constexpr std::size_t kMaximumLoans = 64;

  struct Lent
  {
    std::uint64_t number = 0;
    VmId borrower;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestNumber = 0;
    QuotaUnits units = 0;
    /** When the units come back: the borrower's deadline has passed by then on any clock. */
    Instant returnsAt{};
  };

  struct Borrowed
  {
    QuotaLoanId loan;
    QuotaUnits units = 0;
    Instant deadline{};
    /** When the request was sent that set the deadline; answers to earlier ones are ignored. */
    Instant requestSent{};
    /** An extension is asked for no earlier than this. */
    Instant nextExtensionRequestAt{};
  };

  /** Records a new loan. Returns its number, or nothing if the book is full or already holds an
      answer to this request. Precondition: aUnits > 0. */
  std::optional<std::uint64_t> Lend(const QuotaLoanRequest& aRequest,
                                    QuotaUnits aUnits,
                                    Instant aReturnsAt);

  /** Returns the running loan that the request wants to extend, or nothing. */
  const Lent* FindLoanToExtend(const QuotaLoanRequest& aRequest) const;

  /** Lets aUnits of a loan run until aReturnsAt; the rest of it still returns when it did before.
      Precondition: FindLoanToExtend() found the loan, 0 < aUnits <= its units. */
  void Extend(const QuotaLoanRequest& aRequest, QuotaUnits aUnits, Instant aReturnsAt);

  /** Records a loan that another VM gave. Returns false, and changes nothing, when it was recorded
      before, has ended, or extends a loan that this book doesn't have. The units of a loan never
      grow by an extension. */
  bool Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);

  /** Sets when an extension of a borrowed loan is asked for next. Does nothing if it has ended. */
  void DelayExtensionRequest(const QuotaLoanId& aLoan, Instant aUntil);

  /** Ends the loans whose time has come: borrowed ones at their deadline, lent ones on return. */
  void RemoveExpired(Instant aNow);

  /** Returns when RemoveExpired() next changes anything, or nothing. */
  std::optional<Instant> NextExpiry() const;

  QuotaUnits LentUnits() const { return this->lentUnits; }
  QuotaUnits BorrowedUnits() const { return this->borrowedUnits; }
  const std::vector<Lent>& LentLoans() const { return this->lent; }
  const std::vector<Borrowed>& BorrowedLoans() const { return this->borrowed; }

private:
  void UpdateTotals();

  std::vector<Lent> lent;
  std::vector<Borrowed> borrowed;
  QuotaUnits lentUnits = 0;
  QuotaUnits borrowedUnits = 0;
  std::uint64_t lastNumber = 0;
};

} // namespace mustardshift

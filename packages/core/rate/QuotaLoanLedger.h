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

/** Records what one VM has lent and borrowed of one organisation's quota, and when each loan ends.
    It does not track tokens; OrganisationQuota transfers those along with the units.

    Thread safety: none; one thread owns the object. */
class QuotaLoanLedger
{
public:
  /** Maximum number of loans of one organisation that a VM may have lent at a time, and maximum
      number that it may have borrowed. */
  static constexpr std::size_t kMaxLoans = 64;

  struct LentLoan
  {
    std::uint64_t number = 0;
    VmId borrower;
    std::uint64_t borrowerIncarnation = 0;
    std::uint64_t requestNumber = 0;
    QuotaUnits units = 0;
    /** When the units return to the lender. By then the deadline of the borrower has passed even if
        its clock drifts by the maximum. */
    Instant returnsAt{};
  };

  struct BorrowedLoan
  {
    QuotaLoanId loan;
    QuotaUnits units = 0;
    Instant deadline{};
    /** When the request that set the deadline was sent; replies to earlier requests are ignored. */
    Instant requestSent{};
    /** Earliest time at which an extension is requested. */
    Instant nextExtensionRequestAt{};
  };

  /** Records a new loan that this VM made. Returns its number, or nothing if kMaxLoans are lent
      already or a loan for this request is still running. Precondition: aUnits > 0. */
  std::optional<std::uint64_t> Lend(const QuotaLoanRequest& aRequest,
                                    QuotaUnits aUnits,
                                    Instant aReturnsAt);

  /** Returns the running loan that the request asks to extend, or nullptr. The pointer is valid
      until the next call that changes the ledger. */
  const LentLoan* FindLoanToExtend(const QuotaLoanRequest& aRequest) const;

  /** Extends aUnits of a loan until aReturnsAt. The rest of its units still return at the previous
      time. Precondition: FindLoanToExtend() returns the loan, and 0 < aUnits <= its units. */
  void Extend(const QuotaLoanRequest& aRequest, QuotaUnits aUnits, Instant aReturnsAt);

  /** Records a loan or an extension that another VM granted. Returns false and changes nothing if
      the grant is for zero units, was recorded before or has expired, if it extends a loan that is
      not recorded, or if kMaxLoans are borrowed already. An extension never increases the units
      of a loan. */
  bool Borrow(Instant aNow, const QuotaLoanGrant& aGrant, Instant aRequestSent);

  /** Sets when the extension of a borrowed loan is requested next. Does nothing if the loan has
      ended. */
  void DelayExtensionRequest(const QuotaLoanId& aLoan, Instant aUntil);

  /** Removes the loans that have ended by aNow: borrowed ones at their deadline, lent ones when
      their units return. */
  void RemoveExpired(Instant aNow);

  /** Returns when the next loan ends, or nothing if there are no loans. */
  std::optional<Instant> NextExpiry() const;

  QuotaUnits LentUnits() const { return this->lentUnits; }
  QuotaUnits BorrowedUnits() const { return this->borrowedUnits; }
  const std::vector<LentLoan>& LentLoans() const { return this->lentLoans; }
  const std::vector<BorrowedLoan>& BorrowedLoans() const { return this->borrowedLoans; }

private:
  void UpdateTotals();

  std::vector<LentLoan> lentLoans;
  std::vector<BorrowedLoan> borrowedLoans;
  QuotaUnits lentUnits = 0;
  QuotaUnits borrowedUnits = 0;
  std::uint64_t lastNumber = 0;
};

} // namespace mustardshift

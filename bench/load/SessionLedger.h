#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardshift::bench {

enum class WriteFate
{
  Acknowledged,
  NotRun,
  Unknown,
};

/** What one organisation's sessions wrote, to compare with what the database holds at the end.
    Thread safety: none. */
class SessionLedger
{
public:
  void NoteBooking(const std::string& aKey, WriteFate aFate);
  void NoteDeposit(std::int64_t aAmount, WriteFate aFate);

  /** Compares with the keys of all bookings found, as often as they were found. */
  std::vector<std::string> CheckBookings(const std::vector<std::string>& aFound) const;
  /** Compares with the account's balance; nothing stands for no account. */
  std::vector<std::string> CheckDeposits(std::optional<std::int64_t> aBalance) const;

  std::uint64_t AcknowledgedBookings() const { return this->acknowledged.size(); }
  std::uint64_t AcknowledgedDeposits() const { return this->acknowledgedDeposits; }

private:
  std::set<std::string> acknowledged;
  std::set<std::string> notRun;
  std::set<std::string> unknown;
  std::int64_t acknowledgedSum = 0;
  std::int64_t unknownSum = 0;
  std::uint64_t acknowledgedDeposits = 0;
};

} // namespace mustardshift::bench

#include "load/SessionLedger.h"

#include <map>

namespace mustardshift::bench {

void SessionLedger::NoteBooking(const std::string& aKey, WriteFate aFate)
{
  std::set<std::string>& keys = aFate == WriteFate::Acknowledged ? this->acknowledged
                                : aFate == WriteFate::NotRun     ? this->notRun
                                                                 : this->unknown;
  keys.insert(aKey);
}

void SessionLedger::NoteDeposit(std::int64_t aAmount, WriteFate aFate)
{
  if (aFate == WriteFate::Acknowledged) {
    this->acknowledgedSum += aAmount;
    ++this->acknowledgedDeposits;
  } else if (aFate == WriteFate::Unknown) {
    this->unknownSum += aAmount;
  }
}

std::vector<std::string> SessionLedger::CheckBookings(const std::vector<std::string>& aFound) const
{
  std::map<std::string, unsigned> counts;
  for (const std::string& key : aFound) {
    ++counts[key];
  }
  std::vector<std::string> violations;
  for (const std::string& key : this->acknowledged) {
    if (!counts.contains(key)) {
      violations.push_back("acknowledged booking is lost: " + key);
    }
  }
  for (const auto& [key, count] : counts) {
    if (count > 1) {
      violations.push_back("booking is there twice: " + key);
    }
    if (this->notRun.contains(key)) {
      violations.push_back("booking was refused as not run, but is there: " + key);
    }
  }
  return violations;
}

std::vector<std::string> SessionLedger::CheckDeposits(std::optional<std::int64_t> aBalance) const
{
  const std::int64_t balance = aBalance.value_or(0);
  std::vector<std::string> violations;
  if (balance < this->acknowledgedSum) {
    violations.push_back("acknowledged deposits are lost: balance " + std::to_string(balance) +
                         ", acknowledged " + std::to_string(this->acknowledgedSum));
  }
  if (balance > this->acknowledgedSum + this->unknownSum) {
    violations.push_back("deposits ran twice, or although refused: balance " +
                         std::to_string(balance) + ", acknowledged " +
                         std::to_string(this->acknowledgedSum) + ", unknown " +
                         std::to_string(this->unknownSum));
  }
  return violations;
}

} // namespace mustardshift::bench

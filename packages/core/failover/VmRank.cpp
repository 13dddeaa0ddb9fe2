#include "core/failover/VmRank.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace mustardshift {

namespace {

/** 64-bit FNV-1a hash with a final mixing step, as ids often differ in their last digit only. */
std::uint64_t Hash(const std::string& aText)
{
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  constexpr std::uint64_t kMultiplier = 0xff51afd7ed558ccd;
  constexpr unsigned kShift = 33;
  std::uint64_t hash = kOffsetBasis;
  for (const char character : aText) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  }
  hash = (hash ^ (hash >> kShift)) * kMultiplier;
  return hash ^ (hash >> kShift);
}

std::pair<std::uint64_t, std::string> SortKeyOf(const DatabaseName& aDatabase, const VmId& aVm)
{
  return { Hash(aDatabase.Text() + '/' + aVm.Text()), aVm.Text() };
}

} // namespace

unsigned RankOf(const DatabaseName& aDatabase, const VmId& aSelf, const std::vector<VmId>& aMembers)
{
  const auto own = SortKeyOf(aDatabase, aSelf);
  return static_cast<unsigned>(
    std::count_if(aMembers.begin(), aMembers.end(), [&](const VmId& aMember) {
      return SortKeyOf(aDatabase, aMember) < own;
    }));
}

} // namespace mustardshift

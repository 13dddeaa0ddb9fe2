#include "proxy/limits/MemoryBudget.h"

#include "core/base/Assert.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mustardshift::proxy {

namespace {

/** A holder without progress for longer than this has no higher score. */
constexpr Duration kMaxIdleInScore = std::chrono::seconds(60);
/** Added to the time without progress, so that a holder with progress just now has a score. */
constexpr Duration kMinIdleInScore = std::chrono::seconds(1);
/** Part of the capacity by which the account may grow before its memory is looked at again. */
constexpr double kGrowthPart = 0.125;

} // namespace

MemoryBudget::MemoryBudget(std::size_t aCapacity)
  : capacity(aCapacity)
  , stepAt(static_cast<std::size_t>(static_cast<double>(aCapacity) * kGrowthPart))
{
  MUSTARDSHIFT_ASSERT(aCapacity > 0);
}

bool MemoryBudget::MayRead(const MemoryHolder& aHolder) const
{
  const std::size_t used = this->Used();
  return used < this->Part(kReadStop) || (used < this->capacity && aHolder.held <= kOrdinaryBytes);
}

void MemoryBudget::Add(MemoryHolder& aHolder)
{
  aHolder.id = ++this->lastId;
  this->holders.emplace(aHolder.id, &aHolder);
}

void MemoryBudget::Remove(const MemoryHolder& aHolder)
{
  this->holders.erase(aHolder.id);
}

void MemoryBudget::OnHeldChanged(std::size_t aBefore, std::size_t aAfter)
{
  MUSTARDSHIFT_ASSERT(this->held >= aBefore);
  this->held = this->held - aBefore + aAfter;
  this->peak = std::max(this->peak, this->held);
  const bool needsTrim = !this->isTrimDue && this->peak - this->held >= kTrimBytes;
  if (this->held >= this->stepAt || needsTrim) {
    this->RequestStep();
  }
}

void MemoryBudget::OnBlocked()
{
  this->hasBlocked = true;
  this->RequestStep();
}

void MemoryBudget::RequestStep()
{
  if (!this->isStepRequested && this->onStepNeeded) {
    this->isStepRequested = true;
    this->onStepNeeded();
  }
}

void MemoryBudget::Step(Instant aNow)
{
  // No request from within: this call does what is needed.
  this->isStepRequested = true;
  this->ShedOverflow(aNow);
  this->ShedPressure(aNow);
  if (this->Used() < this->Part(kAcceptStop)) {
    this->ResumeBlocked(aNow);
  }
  this->isStepRequested = false;
  this->isTrimDue = this->peak - this->held >= kTrimBytes;
  // Under pressure, NextStep() makes the steps regular, and only the capacity asks for one at once.
  this->stepAt = this->pressureSince ? this->capacity - std::min(this->capacity, this->overhang)
                                     : this->held + this->Part(kGrowthPart);
  if (!this->pressureSince) {
    const std::size_t acceptStop = this->Part(kAcceptStop);
    this->stepAt = std::min(this->stepAt, acceptStop - std::min(acceptStop, this->overhang));
  }
  this->stepAt = std::max(this->stepAt, this->held + 1);
}

std::optional<Instant> MemoryBudget::NextStep(Instant aNow) const
{
  if (this->pressureSince || this->hasBlocked) {
    return aNow + kStepPeriod;
  }
  if (this->peak - this->held >= kTrimBytes) {
    return std::max(aNow, this->trimmedAt ? *this->trimmedAt + kTrimPeriod : aNow);
  }
  return std::nullopt;
}

void MemoryBudget::ShedOverflow(Instant aNow)
{
  std::set<std::uint64_t> spared;
  for (const std::size_t moreThan : { kOrdinaryBytes, std::size_t(0) }) {
    while (this->Used() > this->capacity && this->ShedOne(aNow, moreThan, spared)) {
    }
  }
}

void MemoryBudget::ShedPressure(Instant aNow)
{
  if (this->Used() < this->Part(kAcceptStop)) {
    this->pressureSince.reset();
    return;
  }
  if (!this->pressureSince) {
    this->pressureSince = aNow;
    return;
  }
  if (aNow - *this->pressureSince < kPatience) {
    return;
  }
  const std::size_t part = this->Part(kShedPart);
  const std::size_t target =
    std::max(this->Part(kRelief), this->Used() - std::min(part, this->Used()));
  std::set<std::uint64_t> spared;
  while (this->Used() > target && this->ShedOne(aNow, kOrdinaryBytes, spared)) {
  }
}

void MemoryBudget::ResumeBlocked(Instant aNow)
{
  this->hasBlocked = false;
  std::vector<std::uint64_t> blocked;
  for (const auto& [id, holder] : this->holders) {
    if (holder->isBlocked) {
      blocked.push_back(id);
    }
  }
  for (const std::uint64_t id : blocked) {
    const auto holder = this->holders.find(id);
    if (holder != this->holders.end()) {
      holder->second->isBlocked = false;
      // A copy, because the handler may destroy the holder.
      const auto resume = holder->second->handlers.resume;
      resume(aNow);
    }
  }
}

bool MemoryBudget::ShedOne(Instant aNow, std::size_t aMoreThan, std::set<std::uint64_t>& aSpared)
{
  MemoryHolder* victim = nullptr;
  double victimScore = 0;
  for (const auto& [id, holder] : this->holders) {
    if (holder->held <= aMoreThan || aSpared.contains(id)) {
      continue;
    }
    const Duration idle =
      kMinIdleInScore + std::clamp(aNow - holder->progressedAt, Duration(0), kMaxIdleInScore);
    const double score =
      static_cast<double>(holder->held) * std::chrono::duration<double>(idle).count();
    if (score > victimScore) {
      victim = holder;
      victimScore = score;
    }
  }
  if (victim == nullptr) {
    return false;
  }
  aSpared.insert(victim->id);
  // A copy, because the handler may destroy the holder.
  const auto shed = victim->handlers.shed;
  shed(aNow);
  return true;
}

bool MemoryBudget::ShouldTrim(Instant aNow) const
{
  return this->peak - this->held >= kTrimBytes &&
         (!this->trimmedAt || aNow - *this->trimmedAt >= kTrimPeriod);
}

void MemoryBudget::NoteTrim(Instant aNow)
{
  this->trimmedAt = aNow;
  this->peak = this->held;
}

void MemoryBudget::SetResident(std::size_t aBytes)
{
  const std::size_t known = this->baseline + this->held;
  this->overhang = std::min(aBytes - std::min(aBytes, known), this->capacity / 2);
}

} // namespace mustardshift::proxy

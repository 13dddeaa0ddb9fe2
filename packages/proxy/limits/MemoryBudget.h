#pragma once

#include "core/base/Instant.h"
#include "proxy/limits/MemoryHolder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace mustardshift::proxy {

/** One account of what all connections, sessions and waiting statements of a process hold, and the
    decisions that keep it within its capacity. As the account fills,

    1. no connection is accepted (from kAcceptStop of the capacity),
    2. connections that hold more than kOrdinaryBytes are not read (from kReadStop),
    3. connections are shed: above the capacity at once, and below it once the pressure has lasted
       for kPatience, because connections that are not read can't finish their messages. Those that
       hold most and have transferred least come first, and those that hold no more than
       kOrdinaryBytes last.

    It uses no clock and no sockets: Step() gets the present time, and handlers act on connections.

    Thread safety: none; one thread owns the object. */
class MemoryBudget
{
public:
  /** Parts of the capacity. */
  static constexpr double kAcceptStop = 0.75;
  static constexpr double kReadStop = 0.8;
  static constexpr double kRelief = 0.7;
  /** Connections that hold no more than this are read until the account is full, in bytes. A
      session with a few values and a statement of some kilobytes holds less. */
  static constexpr std::size_t kOrdinaryBytes = 32'768;
  /** The pressure lasts this long before connections are shed that still fit. */
  static constexpr Duration kPatience = std::chrono::milliseconds(500);
  /** Period of Step() under pressure. */
  static constexpr Duration kStepPeriod = std::chrono::milliseconds(100);
  /** Part of the capacity that one Step() sheds because of pressure. */
  static constexpr double kShedPart = 0.1;
  /** Freed memory is returned to the system once it is this much, in bytes, and at most once in
      kTrimPeriod, because it costs milliseconds. */
  static constexpr std::size_t kTrimBytes = std::size_t(2) << 20;
  static constexpr Duration kTrimPeriod = std::chrono::seconds(1);

  /** @param aCapacity  bytes that may be held; not zero. */
  explicit MemoryBudget(std::size_t aCapacity);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;
  ~MemoryBudget() = default;

  void SetCapacity(std::size_t aCapacity) { this->capacity = aCapacity; }
  /** Sets the handler that is called when Step() should be called soon. It is called at most once
      until the next Step(), and never from within it. */
  void SetStepHandler(std::function<void()> aHandler) { this->onStepNeeded = std::move(aHandler); }

  /** Whether a connection may be accepted. */
  bool MayAccept() const { return this->Used() < this->Part(kAcceptStop); }
  /** Whether this many more bytes may be held. */
  bool MayHold(std::size_t aBytes) const { return this->Used() + aBytes <= this->Part(kReadStop); }

  /** Sheds connections and lets others be read again. */
  void Step(Instant aNow);
  /** Instant of the next Step() that is due without a call of the step handler. */
  std::optional<Instant> NextStep(Instant aNow) const;

  /** Whether memory should be returned to the system now. */
  bool ShouldTrim(Instant aNow) const;
  /** Notes that memory was returned to the system. */
  void NoteTrim(Instant aNow);
  /** Sets the resident memory of the process, in bytes. What exceeds the baseline and the account
      counts as used, up to half of the capacity, so that an account that misses something can't
      keep all clients out. */
  void SetResident(std::size_t aBytes);
  /** Sets the resident memory of the process when it holds nothing, in bytes. */
  void SetBaseline(std::size_t aBytes) { this->baseline = aBytes; }

  std::size_t Held() const { return this->held; }
  std::size_t Capacity() const { return this->capacity; }
  /** What is held, and what the process uses beyond it. */
  std::size_t Used() const { return this->held + this->overhang; }

private:
  friend class MemoryHolder;

  std::size_t Part(double aFraction) const
  {
    return static_cast<std::size_t>(static_cast<double>(this->capacity) * aFraction);
  }
  bool MayRead(const MemoryHolder& aHolder) const;
  void Add(MemoryHolder& aHolder);
  void Remove(const MemoryHolder& aHolder);
  void OnHeldChanged(std::size_t aBefore, std::size_t aAfter);
  void OnBlocked();
  void RequestStep();
  void ShedOverflow(Instant aNow);
  void ShedPressure(Instant aNow);
  void ResumeBlocked(Instant aNow);
  /** Sheds the holder that holds most and has transferred least, of those that hold more than
      aMoreThan and are not in aSpared. Returns false if there is none. */
  bool ShedOne(Instant aNow, std::size_t aMoreThan, std::set<std::uint64_t>& aSpared);

  std::size_t capacity;
  std::size_t baseline = 0;
  std::size_t held = 0;
  std::size_t overhang = 0;
  /** Largest `held` since memory was last returned to the system. */
  std::size_t peak = 0;
  /** A step is requested when `held` reaches this. */
  std::size_t stepAt;
  std::function<void()> onStepNeeded;
  bool isStepRequested = false;
  /** NextStep() says when memory is returned to the system; no step has to be requested for it. */
  bool isTrimDue = false;
  bool hasBlocked = false;
  std::optional<Instant> pressureSince;
  std::optional<Instant> trimmedAt;
  std::uint64_t lastId = 0;
  std::map<std::uint64_t, MemoryHolder*> holders;
};

} // namespace mustardshift::proxy

#pragma once

#include "core/base/Instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace mustardshift::proxy {

class MemoryBudget;

/** What one connection holds, with the session and the statement that belong to it, in a
    MemoryBudget.

    Thread safety: none; one thread owns the object and its budget. */
class MemoryHolder
{
public:
  struct Handlers
  {
    /** Called when the connection has to release what it holds. It may destroy the holder. */
    std::function<void(Instant)> shed;
    /** Called when a connection may be read again after Block(). It may destroy the holder. */
    std::function<void(Instant)> resume;
  };

  /** aBudget has to outlive the holder. */
  MemoryHolder(MemoryBudget& aBudget, Instant aNow, Handlers aHandlers);
  ~MemoryHolder();
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;

  /** Sets the number of bytes that are held. */
  void SetHeld(std::size_t aBytes);
  std::size_t Held() const { return this->held; }

  /** Adds bytes that were read from the peer or written to it. Returns whether they are enough to
      call NoteProgress(). */
  bool AddTransfer(std::size_t aBytes)
  {
    this->transferred += aBytes;
    return this->transferred >= kMinTransfer;
  }
  void NoteProgress(Instant aNow)
  {
    this->transferred = 0;
    this->progressedAt = aNow;
  }

  /** Whether the connection may be read now. */
  bool MayRead() const;
  /** Asks for a call of the resume handler once the connection may be read again. */
  void Block();
  bool IsBlocked() const { return this->isBlocked; }

private:
  friend class MemoryBudget;

  /** Smaller transfers don't count as progress, so that a peer can't keep what it holds by one byte
      now and then. */
  static constexpr std::size_t kMinTransfer = 1024;

  MemoryBudget& budget;
  Handlers handlers;
  std::uint64_t id = 0;
  std::size_t held = 0;
  std::size_t transferred = 0;
  Instant progressedAt{};
  bool isBlocked = false;
};

} // namespace mustardshift::proxy

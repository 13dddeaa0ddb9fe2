#include "proxy/limits/MemoryHolder.h"

#include "proxy/limits/MemoryBudget.h"

#include <utility>

namespace mustardshift::proxy {

MemoryHolder::MemoryHolder(MemoryBudget& aBudget, Instant aNow, Handlers aHandlers)
  : budget(aBudget)
  , handlers(std::move(aHandlers))
  , progressedAt(aNow)
{
  this->budget.Add(*this);
}

MemoryHolder::~MemoryHolder()
{
  this->SetHeld(0);
  this->budget.Remove(*this);
}

void MemoryHolder::SetHeld(std::size_t aBytes)
{
  if (aBytes != this->held) {
    const std::size_t before = std::exchange(this->held, aBytes);
    this->budget.OnHeldChanged(before, aBytes);
  }
}

bool MemoryHolder::MayRead() const
{
  return this->budget.MayRead(*this);
}

void MemoryHolder::Block()
{
  if (!this->isBlocked) {
    this->isBlocked = true;
    this->budget.OnBlocked();
  }
}

} // namespace mustardshift::proxy

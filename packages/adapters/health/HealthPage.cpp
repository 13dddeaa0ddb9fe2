#include "adapters/health/HealthPage.h"

#include "adapters/log/Log.h"
#include "core/base/NameTable.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace mustardshift {

HealthPage::HealthPage(VmId aVm)
  : vm(std::move(aVm))
{
}

void HealthPage::Set(HealthReason aReason, bool aApplies)
{
  bool changed = false;
  bool isHealthy = false;
  {
    const std::lock_guard lock(this->mutex);
    changed = aApplies ? this->reasons.insert(aReason).second : this->reasons.erase(aReason) > 0;
    isHealthy = this->reasons.empty();
  }
  if (!changed) {
    return;
  }
  const std::string name(NameOf(kHealthReasonNames, aReason));
  if (aApplies) {
    Log(Component::Health).Warning("reason " + name + " began; /health answers 503.");
  } else {
    Log(Component::Health)
      .Info("reason " + name + " ended; /health answers " + (isHealthy ? "200." : "503."));
  }
}

bool HealthPage::IsHealthy() const
{
  const std::lock_guard lock(this->mutex);
  return this->reasons.empty();
}

int HealthPage::Status() const
{
  return this->IsHealthy() ? 200 : 503;
}

std::string HealthPage::Body() const
{
  const std::lock_guard lock(this->mutex);
  nlohmann::ordered_json json{ { "vm", this->vm.Text() }, { "healthy", this->reasons.empty() } };
  json["reasons"] = nlohmann::json::array();
  for (const HealthReason reason : this->reasons) {
    json["reasons"].push_back(NameOf(kHealthReasonNames, reason));
  }
  return json.dump() + "\n";
}

} // namespace mustardshift

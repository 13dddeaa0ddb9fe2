#include "core/configuration/ConfigurationHistory.h"

#include "core/configuration/ApplyChange.h"
#include "core/configuration/ValidateConfiguration.h"

#include <string>
#include <utility>

namespace mustardshift {

ConfigurationHistory::ConfigurationHistory()
  : present(std::make_shared<const Configuration>())
{
}

tl::expected<void, ConfigurationError> ConfigurationHistory::Accept(
  const ConfigurationChange& aChange)
{
  tl::expected<Configuration, ConfigurationError> next = ApplyChange(*this->present, aChange);
  if (!next) {
    return tl::unexpected<ConfigurationError>(std::move(next.error()));
  }
  this->present = std::make_shared<const Configuration>(std::move(*next));
  return {};
}

tl::expected<void, ConfigurationError> ConfigurationHistory::AcceptSnapshot(
  Configuration aConfiguration)
{
  if (aConfiguration.version <= this->Version()) {
    return tl::unexpected<ConfigurationError>(
      { ConfigurationErrorKind::VersionPassed,
        "the present configuration has version " + std::to_string(this->Version()) });
  }
  tl::expected<void, ConfigurationError> result = ValidateConfiguration(aConfiguration);
  if (result) {
    this->present = std::make_shared<const Configuration>(std::move(aConfiguration));
  }
  return result;
}

} // namespace mustardshift

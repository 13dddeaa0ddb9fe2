#include "core/configuration/CurrentConfiguration.h"

#include "core/configuration/ApplyChange.h"
#include "core/configuration/ValidateConfiguration.h"

#include <string>
#include <utility>

namespace mustardshift {

CurrentConfiguration::CurrentConfiguration()
  : current(std::make_shared<const Configuration>())
{
}

tl::expected<void, ConfigurationError> CurrentConfiguration::Apply(
  const ConfigurationChange& aChange)
{
  tl::expected<Configuration, ConfigurationError> next = ApplyChange(*this->current, aChange);
  if (!next) {
    return tl::unexpected<ConfigurationError>(std::move(next.error()));
  }
  this->current = std::make_shared<const Configuration>(std::move(*next));
  return {};
}

tl::expected<void, ConfigurationError> CurrentConfiguration::ApplySnapshot(
  Configuration aConfiguration)
{
  if (aConfiguration.version <= this->Version()) {
    return tl::unexpected<ConfigurationError>(
      { ConfigurationErrorKind::VersionPassed,
        "the present configuration has version " + std::to_string(this->Version()) });
  }
  tl::expected<void, ConfigurationError> result = ValidateConfiguration(aConfiguration);
  if (result) {
    this->current = std::make_shared<const Configuration>(std::move(aConfiguration));
  }
  return result;
}

} // namespace mustardshift

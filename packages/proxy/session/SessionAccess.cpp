#include "proxy/session/SessionAccess.h"

#include <utility>

namespace mustardshift::proxy {

tl::expected<SessionAccess, ErrorCode> FindSessionAccess(Instant aNow,
                                                         const ClusterState& aCluster,
                                                         const std::string& aDatabase,
                                                         const std::string& aKeyHash)
{
  if (!aCluster.HasConfiguration()) {
    return tl::unexpected(ErrorCode::Busy);
  }
  const SessionConfiguration& configuration = aCluster.Configuration();
  const auto route = configuration.routes.find(aDatabase);
  if (route == configuration.routes.end()) {
    return tl::unexpected(ErrorCode::UnknownDatabase);
  }
  if (route->second.isPublic) {
    return SessionAccess{ route->second, OrganisationName() };
  }
  auto organisation = FindOrganisation(aNow, aCluster, aKeyHash);
  if (!organisation) {
    return tl::unexpected(organisation.error());
  }
  return SessionAccess{ route->second, std::move(*organisation) };
}

tl::expected<OrganisationName, ErrorCode> FindOrganisation(Instant aNow,
                                                           const ClusterState& aCluster,
                                                           const std::string& aKeyHash)
{
  if (!aCluster.IsTrusted(aNow)) {
    return tl::unexpected(ErrorCode::Busy);
  }
  const auto& organisationsByKeyHash = aCluster.Configuration().organisationsByKeyHash;
  const auto key = organisationsByKeyHash.find(aKeyHash);
  if (key == organisationsByKeyHash.end()) {
    return tl::unexpected(ErrorCode::Unauthorised);
  }
  return key->second;
}

} // namespace mustardshift::proxy

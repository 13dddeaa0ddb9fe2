#include "proxy/session/SessionAccess.h"

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
  if (!aCluster.IsTrusted(aNow)) {
    return tl::unexpected(ErrorCode::Busy);
  }
  const auto key = configuration.organisationsByKeyHash.find(aKeyHash);
  if (key == configuration.organisationsByKeyHash.end()) {
    return tl::unexpected(ErrorCode::Unauthorised);
  }
  return SessionAccess{ route->second, key->second };
}

} // namespace mustardshift::proxy

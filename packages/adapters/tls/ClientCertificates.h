#pragma once

namespace mustardshift {

/** Whether a server asks its clients for certificates. */
enum class ClientCertificates
{
  /** Clients show none; callers are known by their keys. */
  NotRequested,
  /** Clients have to show one that the settings' authorities signed; for operators and VMs. */
  Required,
};

} // namespace mustardshift

#pragma once

#include "adapters/settings/TlsSettings.h"
#include "adapters/tls/CertificateFiles.h"
#include "adapters/tls/CertificateMaterial.h"
#include "adapters/tls/ClientCertificates.h"
#include "core/base/Instant.h"

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/security/tls_certificate_provider.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tl/expected.hpp>

namespace mustardshift {

/** Certificates for gRPC servers and channels that follow their files without a restart. New
    connections use the newest files; open connections stay as they are. Files that don't pass
    ReadCertificateMaterial() are kept out with a log line, and the certificates in use stay.

    gRPC's own file watcher takes over any content that it can read, and its servers then fail all
    handshakes. Therefore it watches checked copies, which are files without names.

    Thread safety: all methods may be called from any thread. */
class ReloadingCertificates
{
public:
  /** Reads the files for the first time; returns one sentence when they are faulty.
      @param aInterval  time between looks at the files. gRPC notices a change up to one second
                        later. */
  static tl::expected<std::unique_ptr<ReloadingCertificates>, std::string> Open(
    const TlsSettings& aSettings,
    Duration aInterval = std::chrono::seconds(5));

  ReloadingCertificates(const ReloadingCertificates&) = delete;
  ReloadingCertificates& operator=(const ReloadingCertificates&) = delete;
  /** Credentials that were made stay usable, but follow the files no longer. The checked copies
      stay open until the process ends. */
  ~ReloadingCertificates();

  /** Looks at the files now. */
  void Reload();

  std::shared_ptr<grpc::ServerCredentials> ServerCredentials(ClientCertificates aClients) const;

  /** Credentials that show the certificate and check the server's certificate and address. */
  std::shared_ptr<grpc::ChannelCredentials> ChannelCredentials() const;

  /** Checked PEM texts in use, for connections that aren't gRPC's. */
  CertificateMaterial Material() const;

private:
  explicit ReloadingCertificates(const TlsSettings& aSettings);

  /** Hands material to gRPC. Returns false when the copies can't be made. Precondition: the mutex
      is held. */
  bool Publish(const CertificateMaterial& aMaterial);
  void Watch(Duration aInterval);

  TlsSettings settings;
  mutable std::mutex mutex;
  CertificateMaterial material;
  /** Fault of the last look, so that it is logged once. */
  std::string lastFault;
  long version = 0;
  std::shared_ptr<CertificateFiles> files;
  std::shared_ptr<grpc::experimental::FileWatcherCertificateProvider> provider;
  bool stopping = false;
  std::condition_variable stopRequested;
  /** Declared last, so that it ends before what it uses. */
  std::thread watcher;
};

} // namespace mustardshift

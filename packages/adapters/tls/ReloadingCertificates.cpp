#include "adapters/tls/ReloadingCertificates.h"

#include "adapters/log/Log.h"

#include <grpcpp/security/tls_credentials_options.h>

#include <utility>
#include <vector>

namespace mustardshift {

namespace {

/** Shortest interval that gRPC's file watcher takes, in seconds. */
constexpr unsigned kProviderInterval = 1;

/** Makes files that stay open until the process ends. gRPC's servers and channels keep watching the
    paths for as long as they live, and a closed descriptor's number would be given to another
    file. A daemon makes them once. */
std::shared_ptr<CertificateFiles> MakePermanentFiles()
{
  static std::mutex mutex;
  static auto* const kPermanent = new std::vector<std::shared_ptr<CertificateFiles>>();
  const std::lock_guard lock(mutex);
  return kPermanent->emplace_back(std::make_shared<CertificateFiles>());
}

} // namespace

tl::expected<std::unique_ptr<ReloadingCertificates>, std::string> ReloadingCertificates::Open(
  const TlsSettings& aSettings,
  Duration aInterval)
{
  const auto material = ReadCertificateMaterial(aSettings);
  if (!material.has_value()) {
    return tl::unexpected(material.error());
  }
  std::unique_ptr<ReloadingCertificates> certificates(new ReloadingCertificates(aSettings));
  {
    const std::lock_guard lock(certificates->mutex);
    if (!certificates->Publish(*material)) {
      return tl::unexpected<std::string>(
        "no temporary file can be made, expected a writable folder for temporary files");
    }
  }
  certificates->provider = std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
    certificates->files->key.Path(),
    certificates->files->certificate.Path(),
    certificates->files->ca.Path(),
    kProviderInterval);
  certificates->watcher =
    std::thread([watched = certificates.get(), aInterval] { watched->Watch(aInterval); });
  return certificates;
}

ReloadingCertificates::ReloadingCertificates(const TlsSettings& aSettings)
  : settings(aSettings)
  , files(MakePermanentFiles())
{
}

ReloadingCertificates::~ReloadingCertificates()
{
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->stopRequested.notify_all();
  if (this->watcher.joinable()) {
    this->watcher.join();
  }
}

bool ReloadingCertificates::Publish(const CertificateMaterial& aMaterial)
{
  ++this->version;
  // gRPC reads key and certificate one after the other and starts again when a time of
  // modification changed meanwhile, so it never pairs an old key with a new certificate.
  if (!this->files->key.Replace(aMaterial.key, this->version) ||
      !this->files->certificate.Replace(aMaterial.certificate, this->version) ||
      !this->files->ca.Replace(aMaterial.ca, this->version)) {
    return false;
  }
  this->material = aMaterial;
  return true;
}

void ReloadingCertificates::Reload()
{
  const auto read = ReadCertificateMaterial(this->settings);
  const std::lock_guard lock(this->mutex);
  if (read.has_value() && *read == this->material) {
    this->lastFault.clear();
    return;
  }
  std::string fault = read.has_value() ? "" : read.error();
  if (read.has_value() && !this->Publish(*read)) {
    fault = "no temporary file can be made, expected a writable folder for temporary files";
  }
  if (fault.empty()) {
    Log(Component::Tls)
      .Info("certificate " + SerialOf(this->material.certificate) +
            " is served to new connections.");
  } else if (fault != this->lastFault) {
    Log(Component::Tls)
      .Error(fault + "; certificate " + SerialOf(this->material.certificate) + " stays in use.");
  }
  this->lastFault = fault;
}

void ReloadingCertificates::Watch(Duration aInterval)
{
  std::unique_lock lock(this->mutex);
  while (!this->stopRequested.wait_for(lock, aInterval, [this] { return this->stopping; })) {
    lock.unlock();
    this->Reload();
    lock.lock();
  }
}

std::shared_ptr<grpc::ServerCredentials> ReloadingCertificates::ServerCredentials(
  ClientCertificates aClients) const
{
  grpc::experimental::TlsServerCredentialsOptions options(this->provider);
  options.watch_identity_key_cert_pairs();
  if (aClients == ClientCertificates::Required) {
    options.watch_root_certs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  }
  return grpc::experimental::TlsServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> ReloadingCertificates::ChannelCredentials() const
{
  grpc::experimental::TlsChannelCredentialsOptions options;
  options.set_certificate_provider(this->provider);
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  return grpc::experimental::TlsCredentials(options);
}

CertificateMaterial ReloadingCertificates::Material() const
{
  const std::lock_guard lock(this->mutex);
  return this->material;
}

} // namespace mustardshift

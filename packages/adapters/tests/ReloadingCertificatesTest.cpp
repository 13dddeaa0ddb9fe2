#include "adapters/tls/ReloadingCertificates.h"

#include "TestAuthority.h"
#include "operator.grpc.pb.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mustardshift {

using test::Section;
using test::TestAuthority;

namespace {

/** Folder of one test, with PEM files in it. */
class CertificateFolder
{
public:
  CertificateFolder()
  {
    std::string path =
      (std::filesystem::temp_directory_path() / "mustardshift-tls-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(path.data()) != nullptr);
    this->path = path;
  }
  CertificateFolder(const CertificateFolder&) = delete;
  CertificateFolder& operator=(const CertificateFolder&) = delete;
  ~CertificateFolder() { std::filesystem::remove_all(this->path); }

  TlsSettings Settings() const
  {
    return { this->path / "vm.pem", this->path / "vm.key", this->path / "ca.pem" };
  }

  void Write(const TestAuthority::Pair& aPair, const std::string& aAuthority) const
  {
    const TlsSettings settings = this->Settings();
    std::ofstream(settings.certificate) << aPair.certificate;
    std::ofstream(settings.key) << aPair.key;
    std::ofstream(settings.ca) << aAuthority;
  }

private:
  std::filesystem::path path;
};

/** Server on a loopback port; every call is answered with UNIMPLEMENTED. */
class TlsServer
{
public:
  explicit TlsServer(const std::shared_ptr<grpc::ServerCredentials>& aCredentials)
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", aCredentials, &this->port);
    builder.RegisterService(&this->service);
    this->server = builder.BuildAndStart();
  }
  TlsServer(const TlsServer&) = delete;
  TlsServer& operator=(const TlsServer&) = delete;
  ~TlsServer() { this->server->Shutdown(std::chrono::system_clock::now()); }

  /** Makes a call over a new connection. Returns the serial number of the server's certificate,
      or an empty text when the connection failed. */
  std::string ServedSerial(const std::shared_ptr<grpc::ChannelCredentials>& aCredentials) const
  {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    const auto channel =
      grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(this->port), aCredentials, arguments);
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(10));
    operators::v1::StatusResponse response;
    const grpc::Status status =
      operators::v1::Operator::NewStub(channel)->GetStatus(&context, {}, &response);
    if (status.error_code() != grpc::StatusCode::UNIMPLEMENTED) {
      return "";
    }
    const auto values = context.auth_context()->FindPropertyValues("x509_pem_cert");
    return values.empty() ? "" : SerialOf(std::string(values[0].data(), values[0].size()));
  }

private:
  operators::v1::Operator::Service service;
  int port = 0;
  std::unique_ptr<grpc::Server> server;
};

/** Waits until the server shows a certificate; gRPC looks for changes once a second. */
bool IsServedEventually(const TlsServer& aServer,
                        const std::shared_ptr<grpc::ChannelCredentials>& aCredentials,
                        const std::string& aSerial)
{
  for (int attempt = 0; attempt < 150; ++attempt) {
    if (aServer.ServedSerial(aCredentials) == aSerial) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::shared_ptr<grpc::ChannelCredentials> ClientWithoutCertificate(const TestAuthority& aAuthority)
{
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = aAuthority.Certificate();
  return grpc::SslCredentials(options);
}

} // namespace

/** Guards against a VM that has to restart for a new certificate, that loses TLS because of a
    damaged file, that pairs files that don't belong together, or that accepts clients which show
    no certificate where one is required. */
class ReloadingCertificatesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ReloadingCertificatesTest);
  CPPUNIT_TEST(ServesAReplacedCertificate);
  CPPUNIT_TEST(KeepsTheOldCertificateWhenAFileIsBroken);
  CPPUNIT_TEST(RequiresClientCertificates);
  CPPUNIT_TEST(NamesFaultyFiles);
  CPPUNIT_TEST_SUITE_END();

public:
  void ServesAReplacedCertificate()
  {
    const TestAuthority authority;
    const CertificateFolder folder;
    folder.Write(authority.Sign(0x11), authority.Certificate());
    const auto certificates = ReloadingCertificates::Open(folder.Settings());
    CPPUNIT_ASSERT_MESSAGE(certificates ? "" : certificates.error(), certificates.has_value());
    const TlsServer server((*certificates)->ServerCredentials(ClientCertificates::NotRequested));
    const auto client = ClientWithoutCertificate(authority);
    CPPUNIT_ASSERT_EQUAL(std::string("11"), server.ServedSerial(client));
    Section("the new certificate is served without a restart", [&] {
      folder.Write(authority.Sign(0x22), authority.Certificate());
      (*certificates)->Reload();
      CPPUNIT_ASSERT_EQUAL(std::string("22"), SerialOf((*certificates)->Material().certificate));
      CPPUNIT_ASSERT(IsServedEventually(server, client, "22"));
    });
    Section("the files are watched without a call", [&] {
      folder.Write(authority.Sign(0x33), authority.Certificate());
      const auto watched =
        ReloadingCertificates::Open(folder.Settings(), std::chrono::milliseconds(10));
      const TlsServer second((*watched)->ServerCredentials(ClientCertificates::NotRequested));
      folder.Write(authority.Sign(0x44), authority.Certificate());
      CPPUNIT_ASSERT(IsServedEventually(second, client, "44"));
    });
  }

  void KeepsTheOldCertificateWhenAFileIsBroken()
  {
    const TestAuthority authority;
    const CertificateFolder folder;
    const TestAuthority::Pair good = authority.Sign(0x11);
    folder.Write(good, authority.Certificate());
    const auto certificates = ReloadingCertificates::Open(folder.Settings());
    CPPUNIT_ASSERT(certificates.has_value());
    const TlsServer server((*certificates)->ServerCredentials(ClientCertificates::NotRequested));
    const auto client = ClientWithoutCertificate(authority);
    std::ostringstream log;
    std::streambuf* const previous = std::cerr.rdbuf(log.rdbuf());
    folder.Write({ "no PEM", good.key }, authority.Certificate());
    (*certificates)->Reload();
    (*certificates)->Reload();
    std::cerr.rdbuf(previous);
    const std::string lines = log.str();
    Section("one log line says so", [&] {
      const std::string expected = "error tls: " + folder.Settings().certificate +
                                   ": is damaged, expected certificates in PEM; certificate 11 "
                                   "stays in use.\n";
      CPPUNIT_ASSERT_MESSAGE(lines, lines.ends_with(expected));
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, std::count(lines.begin(), lines.end(), '\n'));
    });
    Section("the old certificate is served after gRPC looked for changes", [&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(2500));
      CPPUNIT_ASSERT_EQUAL(std::string("11"), server.ServedSerial(client));
    });
    Section("a repaired file is taken", [&] {
      folder.Write(authority.Sign(0x22), authority.Certificate());
      (*certificates)->Reload();
      CPPUNIT_ASSERT(IsServedEventually(server, client, "22"));
    });
  }

  void RequiresClientCertificates()
  {
    const TestAuthority authority;
    const TestAuthority stranger;
    const CertificateFolder folder;
    const CertificateFolder strangerFolder;
    folder.Write(authority.Sign(0x11), authority.Certificate());
    strangerFolder.Write(stranger.Sign(0x66), authority.Certificate());
    const auto certificates = ReloadingCertificates::Open(folder.Settings());
    const auto strangers = ReloadingCertificates::Open(strangerFolder.Settings());
    CPPUNIT_ASSERT(certificates.has_value() && strangers.has_value());
    const TlsServer server((*certificates)->ServerCredentials(ClientCertificates::Required));
    Section("a VM's channel is accepted", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string("11"),
                           server.ServedSerial((*certificates)->ChannelCredentials()));
    });
    Section("a client without a certificate is refused", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string(), server.ServedSerial(ClientWithoutCertificate(authority)));
    });
    Section("a client of another authority is refused", [&] {
      CPPUNIT_ASSERT_EQUAL(std::string(), server.ServedSerial((*strangers)->ChannelCredentials()));
    });
    Section("a server of another authority is refused", [&] {
      const TlsServer other((*strangers)->ServerCredentials(ClientCertificates::NotRequested));
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           other.ServedSerial((*certificates)->ChannelCredentials()));
    });
  }

  void NamesFaultyFiles()
  {
    const TestAuthority authority;
    const TestAuthority::Pair good = authority.Sign(0x11);
    const TestAuthority::Pair other = authority.Sign(0x22);
    const std::string ca = authority.Certificate();
    const std::string half = good.certificate.substr(0, good.certificate.size() / 2);
    struct Entry
    {
      TestAuthority::Pair pair;
      std::string ca;
      std::string fault;
    };
    const std::vector<Entry> table{
      { { half, good.key }, ca, "vm.pem: is damaged, expected certificates in PEM" },
      { { good.certificate + half, good.key }, ca, "vm.pem: is damaged" },
      { { "", good.key }, ca, "vm.pem: is damaged" },
      { { good.certificate, "" }, ca, "vm.key: is damaged, expected a private key in PEM without" },
      { { good.certificate, good.certificate }, ca, "vm.key: is damaged" },
      { { good.certificate, other.key }, ca, "vm.key: does not belong to " },
      { authority.Sign(0x33, -7200, -3600), ca, "vm.pem: has expired, expected" },
      { authority.Sign(0x33, 3600, 7200), ca, "vm.pem: is not valid yet, expected" },
      { good, "none", "ca.pem: is damaged, expected certificates in PEM" },
    };
    for (const Entry& entry : table) {
      Section(entry.fault, [&] {
        const CertificateFolder folder;
        folder.Write(entry.pair, entry.ca);
        const auto certificates = ReloadingCertificates::Open(folder.Settings());
        CPPUNIT_ASSERT(!certificates.has_value());
        CPPUNIT_ASSERT_MESSAGE(certificates.error(),
                               certificates.error().find(entry.fault) != std::string::npos);
      });
    }
    Section("a missing file", [] {
      const CertificateFolder folder;
      const auto certificates = ReloadingCertificates::Open(folder.Settings());
      CPPUNIT_ASSERT(!certificates.has_value());
      CPPUNIT_ASSERT(certificates.error().ends_with("vm.pem: can't be read, expected a PEM file"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReloadingCertificatesTest);

} // namespace mustardshift

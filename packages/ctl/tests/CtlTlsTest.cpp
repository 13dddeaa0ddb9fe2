#include "FakeOperatorService.h"
#include "adapters/tests/TestAuthority.h"
#include "ctl/Ctl.h"
#include "support/Section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/security/server_credentials.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace mustardshift {

using test::FakeOperatorService;
using test::Section;
using test::TestAuthority;

/** Guards against operators' commands that travel to a stranger's VM, or that a VM takes from
    someone without a certificate. */
class CtlTlsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CtlTlsTest);
  CPPUNIT_TEST(ChecksBothSides);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    std::string path =
      (std::filesystem::temp_directory_path() / "mustardshift-ctl-XXXXXX").string();
    CPPUNIT_ASSERT(mkdtemp(path.data()) != nullptr);
    this->folder = path;
  }

  void tearDown() override { std::filesystem::remove_all(this->folder); }

  void ChecksBothSides()
  {
    const TestAuthority authority;
    const TestAuthority stranger;
    const TestAuthority::Pair vmPair = authority.Sign(0x11);
    const TestAuthority::Pair operatorPair = authority.Sign(0x22);
    const std::string ca = "--ca=" + this->Write("ca.pem", authority.Certificate());
    const std::string otherCa = "--ca=" + this->Write("other.pem", stranger.Certificate());
    const std::string certificate =
      "--certificate=" + this->Write("op.pem", operatorPair.certificate);
    const std::string key = "--key=" + this->Write("op.key", operatorPair.key);

    grpc::SslServerCredentialsOptions options(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = authority.Certificate();
    options.pem_key_cert_pairs.push_back({ vmPair.key, vmPair.certificate });
    FakeOperatorService vm(grpc::SslServerCredentials(options));
    const std::string address = "--vm=" + vm.Address();

    Section("both sides show certificates of the same authority", [&] {
      CPPUNIT_ASSERT_EQUAL(0, Run({ address, "status", ca, certificate, key }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, vm.Calls().size());
    });
    Section("nothing runs otherwise", [&] {
      for (const std::vector<std::string>& arguments :
           { std::vector<std::string>{ address, "vm", "drain", ca },
             { address, "vm", "drain", otherCa, certificate, key },
             { address, "vm", "drain" } }) {
        CPPUNIT_ASSERT(Run(arguments) != 0);
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, vm.Calls().size());
    });
  }

private:
  static int Run(std::vector<std::string> aArguments)
  {
    aArguments.emplace_back("--timeout=2s");
    std::ostringstream out;
    std::ostringstream error;
    return static_cast<int>(RunCtl(aArguments, out, error));
  }

  std::string Write(const std::string& aName, const std::string& aText) const
  {
    const std::filesystem::path path = this->folder / aName;
    std::ofstream(path) << aText;
    return path.string();
  }

  std::filesystem::path folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CtlTlsTest);

} // namespace mustardshift

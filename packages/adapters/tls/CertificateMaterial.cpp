#include "adapters/tls/CertificateMaterial.h"

#include "adapters/settings/YamlMap.h"

#include <openssl/bio.h>
#include <openssl/bn.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <memory>
#include <vector>

namespace mustardshift {

namespace {

template<auto Free>
struct Deleter
{
  template<class T>
  void operator()(T* aObject) const
  {
    Free(aObject);
  }
};

using Bio = std::unique_ptr<BIO, Deleter<BIO_free>>;
using Certificate = std::unique_ptr<X509, Deleter<X509_free>>;
using PrivateKey = std::unique_ptr<EVP_PKEY, Deleter<EVP_PKEY_free>>;

/** Refuses to give a passphrase. OpenSSL would ask for one on the terminal otherwise. */
int GiveNoPassphrase(char* /*aBuffer*/, int /*aSize*/, int /*aForWriting*/, void* /*aData*/)
{
  return -1;
}

Bio OpenText(const std::string& aText)
{
  return Bio(BIO_new_mem_buf(aText.data(), static_cast<int>(aText.size())));
}

/** Parses all certificates of a text; none when one of them is damaged. */
std::vector<Certificate> ParseCertificates(const std::string& aText)
{
  const Bio bio = OpenText(aText);
  std::vector<Certificate> certificates;
  while (true) {
    Certificate certificate(PEM_read_bio_X509(bio.get(), nullptr, &GiveNoPassphrase, nullptr));
    if (certificate == nullptr) {
      break;
    }
    certificates.push_back(std::move(certificate));
  }
  // The loop ends with "no start line" at the end of the text, and with another error before it.
  const bool isDamaged = ERR_GET_REASON(ERR_peek_last_error()) != PEM_R_NO_START_LINE;
  ERR_clear_error();
  if (isDamaged) {
    certificates.clear();
  }
  return certificates;
}

std::string CheckCertificate(const TlsSettings& aSettings, const CertificateMaterial& aMaterial)
{
  const std::vector<Certificate> chain = ParseCertificates(aMaterial.certificate);
  if (chain.empty()) {
    return aSettings.certificate + ": is damaged, expected certificates in PEM";
  }
  const X509* certificate = chain.front().get();
  if (X509_cmp_current_time(X509_get0_notBefore(certificate)) >= 0) {
    return aSettings.certificate + ": is not valid yet, expected a certificate valid at present";
  }
  if (X509_cmp_current_time(X509_get0_notAfter(certificate)) <= 0) {
    return aSettings.certificate + ": has expired, expected a certificate valid at present";
  }
  const Bio bio = OpenText(aMaterial.key);
  const PrivateKey key(PEM_read_bio_PrivateKey(bio.get(), nullptr, &GiveNoPassphrase, nullptr));
  ERR_clear_error();
  if (key == nullptr) {
    return aSettings.key + ": is damaged, expected a private key in PEM without a passphrase";
  }
  const bool belongs = X509_check_private_key(certificate, key.get()) == 1;
  ERR_clear_error();
  if (!belongs) {
    return aSettings.key + ": does not belong to " + aSettings.certificate +
           ", expected the key of that certificate";
  }
  return "";
}

} // namespace

tl::expected<CertificateMaterial, std::string> ReadCertificateMaterial(const TlsSettings& aSettings)
{
  InputErrorCollector errors("");
  CertificateMaterial material;
  const auto read = [&errors](const std::string& aPath, std::string& aText) {
    const auto text = ReadTextFile(aPath, errors);
    aText = text.value_or("");
    return text.has_value();
  };
  for (const auto& [path, text] : { std::pair(&aSettings.certificate, &material.certificate),
                                    std::pair(&aSettings.key, &material.key),
                                    std::pair(&aSettings.ca, &material.ca) }) {
    if (!read(*path, *text)) {
      return tl::unexpected(*path + ": can't be read, expected a PEM file");
    }
  }
  const std::string fault = CheckCertificate(aSettings, material);
  if (!fault.empty()) {
    return tl::unexpected(fault);
  }
  if (ParseCertificates(material.ca).empty()) {
    return tl::unexpected(aSettings.ca + ": is damaged, expected certificates in PEM");
  }
  return material;
}

std::string SerialOf(const std::string& aCertificate)
{
  const std::vector<Certificate> chain = ParseCertificates(aCertificate);
  if (chain.empty()) {
    return "";
  }
  const std::unique_ptr<BIGNUM, Deleter<BN_free>> number(
    ASN1_INTEGER_to_BN(X509_get0_serialNumber(chain.front().get()), nullptr));
  char* text = BN_bn2hex(number.get());
  std::string serial = text == nullptr ? "" : text;
  OPENSSL_free(text);
  return serial;
}

} // namespace mustardshift

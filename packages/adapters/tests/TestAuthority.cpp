#include "TestAuthority.h"

#include <openssl/bio.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <functional>

namespace mustardshift::test {

namespace {

std::shared_ptr<EVP_PKEY> MakeKey()
{
  return { EVP_EC_gen("P-256"), &EVP_PKEY_free };
}

std::string ToText(const std::function<void(BIO*)>& aWrite)
{
  const std::unique_ptr<BIO, decltype(&BIO_free)> bio(BIO_new(BIO_s_mem()), &BIO_free);
  aWrite(bio.get());
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio.get(), &data);
  return { data, static_cast<std::size_t>(size) };
}

void AddExtension(X509* aCertificate, X509* aIssuer, int aKind, const char* aValue)
{
  X509V3_CTX context;
  X509V3_set_ctx(&context, aIssuer, aCertificate, nullptr, nullptr, 0);
  X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, aKind, aValue);
  X509_add_ext(aCertificate, extension, -1);
  X509_EXTENSION_free(extension);
}

/** Makes a certificate without a signature. A null issuer stands for the certificate itself. */
std::shared_ptr<X509> MakeCertificate(EVP_PKEY* aKey,
                                      X509* aIssuer,
                                      long aSerial,
                                      long aFrom,
                                      long aTo)
{
  std::shared_ptr<X509> certificate(X509_new(), &X509_free);
  X509_set_version(certificate.get(), X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), aSerial);
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), aFrom);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), aTo);
  X509_set_pubkey(certificate.get(), aKey);
  X509_NAME* name = X509_get_subject_name(certificate.get());
  const std::string text = aIssuer == nullptr ? "test authority" : "test VM";
  X509_NAME_add_entry_by_txt(
    name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(text.c_str()), -1, -1, 0);
  X509* issuer = aIssuer == nullptr ? certificate.get() : aIssuer;
  X509_set_issuer_name(certificate.get(), X509_get_subject_name(issuer));
  if (aIssuer == nullptr) {
    AddExtension(certificate.get(), issuer, NID_basic_constraints, "critical,CA:TRUE");
  } else {
    AddExtension(certificate.get(), issuer, NID_subject_alt_name, "IP:127.0.0.1");
  }
  return certificate;
}

} // namespace

TestAuthority::TestAuthority()
  : key(MakeKey())
  , certificate(MakeCertificate(this->key.get(), nullptr, 1, -3600, 3600))
{
  X509_sign(this->certificate.get(), this->key.get(), EVP_sha256());
}

std::string TestAuthority::Certificate() const
{
  return ToText([this](BIO* aBio) { PEM_write_bio_X509(aBio, this->certificate.get()); });
}

TestAuthority::Pair TestAuthority::Sign(long aSerial, long aFrom, long aTo) const
{
  const auto leafKey = MakeKey();
  const auto leaf = MakeCertificate(leafKey.get(), this->certificate.get(), aSerial, aFrom, aTo);
  X509_sign(leaf.get(), this->key.get(), EVP_sha256());
  return { ToText([&](BIO* aBio) { PEM_write_bio_X509(aBio, leaf.get()); }), ToText([&](BIO* aBio) {
             PEM_write_bio_PrivateKey(aBio, leafKey.get(), nullptr, nullptr, 0, nullptr, nullptr);
           }) };
}

} // namespace mustardshift::test

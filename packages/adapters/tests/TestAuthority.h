#pragma once

#include <openssl/x509.h>

#include <memory>
#include <string>

namespace mustardshift::test {

/** Certificate authority that signs certificates for 127.0.0.1. */
class TestAuthority
{
public:
  struct Pair
  {
    std::string certificate;
    std::string key;
  };

  TestAuthority();

  /** The authority's own certificate, PEM. */
  std::string Certificate() const;

  /** Signs a certificate that is valid from now + aFrom to now + aTo, in seconds. */
  Pair Sign(long aSerial, long aFrom = -3600, long aTo = 3600) const;

private:
  std::shared_ptr<EVP_PKEY> key;
  std::shared_ptr<X509> certificate;
};

} // namespace mustardshift::test

#pragma once

#include "adapters/settings/TlsSettings.h"

#include <string>
#include <tl/expected.hpp>

namespace mustardshift {

/** PEM texts that belong together. */
struct CertificateMaterial
{
  std::string certificate;
  std::string key;
  std::string ca;

  friend bool operator==(const CertificateMaterial&, const CertificateMaterial&) = default;
};

/** Reads the files and checks that each is PEM of its kind, that the key belongs to the
    certificate, and that the certificate is valid at present. Otherwise returns one sentence that
    names the file, what is wrong and what was expected; it never contains a file's content.

    Thread safety: may be called from any thread. */
tl::expected<CertificateMaterial, std::string> ReadCertificateMaterial(
  const TlsSettings& aSettings);

/** Returns the serial number of a certificate in hexadecimal, for logs. Empty when the text is no
    certificate. Thread safety: may be called from any thread. */
std::string SerialOf(const std::string& aCertificate);

} // namespace mustardshift

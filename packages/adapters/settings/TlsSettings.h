#pragma once

#include <string>

namespace mustardshift {

/** Paths of PEM files. */
struct TlsSettings
{
  std::string certificate;
  std::string key;
  /** Certificates of the authorities that sign the other side's certificates. */
  std::string ca;

  friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

} // namespace mustardshift

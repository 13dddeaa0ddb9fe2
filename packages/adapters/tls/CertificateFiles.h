#pragma once

#include "adapters/tls/AnonymousFile.h"

namespace mustardshift {

/** Copies of certificate files that gRPC watches. */
struct CertificateFiles
{
  AnonymousFile certificate;
  AnonymousFile key;
  AnonymousFile ca;
};

} // namespace mustardshift

#pragma once

#include "standins/platform/PlatformOptions.h"

#include <memory>
#include <string>

namespace mustardshift::standin {

/** The platform's stand-in: table service, object store, VM list and test control on one address.
    It runs until it is destroyed. */
class PlatformServer
{
public:
  /** Returns nothing when the address can't be used. */
  static std::unique_ptr<PlatformServer> Start(const PlatformOptions& aOptions);

  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  /** "IP:port" on which it listens. */
  const std::string& Address() const;

private:
  struct Implementation;

  explicit PlatformServer(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> implementation;
};

} // namespace mustardshift::standin

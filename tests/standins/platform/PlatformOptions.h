#pragma once

#include <string>

namespace mustardshift::standin {

/** Settings of the platform's stand-in. */
struct PlatformOptions
{
  /** "IP:port"; port 0 takes a free one. */
  std::string listen = "127.0.0.1:0";
  /** Capacity of the table service and, separately, of the object store. A commit counts as one
      write, a scan as one read, whatever the number of their rows. */
  double writesPerSecond = 500;
  double readsPerSecond = 2000;
};

} // namespace mustardshift::standin

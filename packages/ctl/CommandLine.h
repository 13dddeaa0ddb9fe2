#pragma once

#include "core/base/Instant.h"
#include "ctl/CtlCommand.h"
#include "ctl/OutputFormat.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardshift {

/** What the operator asked for. */
struct CommandLine
{
  /** True when only the usage is to be printed; nothing else is set then. */
  bool wantsHelp = false;
  CtlCommand command = CtlCommand::ShowStatus;
  std::vector<std::string> operands;
  /** Operator addresses of VMs, "IP:port", in the order in which they are tried. */
  std::vector<std::string> vms;
  OutputFormat output = OutputFormat::Text;
  /** Longest time for the whole command. */
  Duration timeout = std::chrono::seconds(10);
  /** Zero stands for "whatever the present version is". */
  std::uint64_t baseVersion = 0;
  /** Paths of PEM files; an empty ca stands for connections without TLS. */
  std::string ca;
  std::string certificate;
  std::string key;
};

} // namespace mustardshift

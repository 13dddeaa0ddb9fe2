#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Why ServerSelector put a server first. */
enum class SelectionReason
{
  /** The only server. */
  Only,
  /** In the VM's own failure domain. */
  OwnDomain,
  /** The server that an organisation with little demand uses from all VMs. */
  Affinity,
  /** The own failure domain has no server that can be used. */
  NoOwnServer,
  /** The server of the own failure domain, or of the affinity, is loaded more than others. */
  Load,
  /** The statement can't start in time at the server that came first. */
  TimeLeft,
  /** The statement tests a server that is ejected. */
  Probe,
};

inline constexpr std::array<std::pair<SelectionReason, std::string_view>, 7> kSelectionReasonNames{
  {
    { SelectionReason::Only, "only" },
    { SelectionReason::OwnDomain, "own-domain" },
    { SelectionReason::Affinity, "affinity" },
    { SelectionReason::NoOwnServer, "no-own-server" },
    { SelectionReason::Load, "load" },
    { SelectionReason::TimeLeft, "time-left" },
    { SelectionReason::Probe, "probe" },
  }
};

} // namespace mustardshift::proxy

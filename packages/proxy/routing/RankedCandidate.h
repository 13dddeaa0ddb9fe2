#pragma once

#include "proxy/routing/SelectionCandidate.h"

namespace mustardshift::proxy {

/** A candidate with what ServerSelector thinks of it. Costs are in milliseconds. */
struct RankedCandidate
{
  const SelectionCandidate* candidate = nullptr;
  /** Expected time until the server begins the statement. */
  double startMs = 0;
  /** startMs, and what the statement costs others. */
  double costMs = 0;
  bool isHome = false;
  bool isEjected = false;
  /** A small part of the statements tests it although it is ejected. */
  bool isProbed = false;
};

} // namespace mustardshift::proxy

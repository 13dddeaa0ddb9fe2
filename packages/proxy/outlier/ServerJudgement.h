#pragma once

#include "core/base/Instant.h"
#include "proxy/outlier/AnswerWindow.h"
#include "proxy/outlier/EjectionReason.h"
#include "proxy/outlier/ReadTimes.h"

#include <optional>

namespace mustardshift::proxy {

/** What OutlierDetector knows about one server. */
struct ServerJudgement
{
  unsigned consecutiveFailures = 0;
  AnswerWindow answers;
  ReadTimes readTimes;
  /** Average time of a read that another VM reported; zero if none did. */
  Duration reportedReadTime{ 0 };
  /** Why the server looks bad; nothing if it doesn't. It may be used nevertheless, because too
      many others are ejected. */
  std::optional<EjectionReason> reason;
  bool isEjected = false;
  Instant ejectedUntil{};
  /** Length of the latest ejection; zero after a long time without one. */
  Duration ejectionTime{ 0 };
  Instant returnedAt{};
  unsigned succeededProbes = 0;
  Instant lastProbeAt{};
};

} // namespace mustardshift::proxy

#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** How admitted work ended. */
enum class AdmissionEnd
{
  /** The server answered; also when the statement itself was in error. */
  Done,
  /** The server rejected the work because it had too much. */
  Busy,
  /** The server failed to run the work, or a connection couldn't be opened. */
  Failed,
  /** The answer was lost, or didn't come in time. */
  Lost,
  /** The work was not sent to the server. */
  Unused,
};

inline constexpr std::array<std::pair<AdmissionEnd, std::string_view>, 5> kAdmissionEndNames{ {
  { AdmissionEnd::Done, "done" },
  { AdmissionEnd::Busy, "busy" },
  { AdmissionEnd::Failed, "failed" },
  { AdmissionEnd::Lost, "lost" },
  { AdmissionEnd::Unused, "unused" },
} };

} // namespace mustardshift::proxy

#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Kinds of work for a database server whose usual times differ. */
enum class WorkKind
{
  /** Opening a connection, which occupies a slot of the server. */
  Open,
  Begin,
  Read,
  Write,
  Commit,
  Rollback,
};

inline constexpr std::size_t kWorkKindCount = 6;

inline constexpr std::array<std::pair<WorkKind, std::string_view>, kWorkKindCount> kWorkKindNames{ {
  { WorkKind::Open, "open" },
  { WorkKind::Begin, "begin" },
  { WorkKind::Read, "read" },
  { WorkKind::Write, "write" },
  { WorkKind::Commit, "commit" },
  { WorkKind::Rollback, "rollback" },
} };

} // namespace mustardshift::proxy

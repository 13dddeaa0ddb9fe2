#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace mustardshift::proxy {

/** Kind of a client's statement. */
enum class StatementKind
{
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetVariable,
  Prepare,
  Execute,
  Deallocate,
};

inline constexpr std::array<std::pair<StatementKind, std::string_view>, 10> kStatementKindNames{ {
  { StatementKind::Begin, "begin" },
  { StatementKind::BeginReadOnly, "begin-read-only" },
  { StatementKind::Commit, "commit" },
  { StatementKind::Rollback, "rollback" },
  { StatementKind::Read, "read" },
  { StatementKind::Write, "write" },
  { StatementKind::SetVariable, "set-value" },
  { StatementKind::Prepare, "prepare" },
  { StatementKind::Execute, "execute" },
  { StatementKind::Deallocate, "deallocate" },
} };

} // namespace mustardshift::proxy

#include "proxy/session/SessionState.h"

#include "core/base/Assert.h"

namespace mustardshift::proxy {

void SessionState::Apply(const Statement& aStatement)
{
  switch (aStatement.kind) {
    case StatementKind::SetVariable:
      this->variables[aStatement.name] = aStatement.body;
      return;
    case StatementKind::Prepare:
      this->preparedStatements[aStatement.name] =
        MakePreparedStatement(aStatement.access, aStatement.body);
      return;
    case StatementKind::Deallocate:
      this->preparedStatements.erase(aStatement.name);
      return;
    default:
      MUSTARDSHIFT_ASSERT(false);
  }
}

const PreparedStatement* SessionState::Find(const Statement& aStatement) const
{
  const auto found = this->preparedStatements.find(aStatement.name);
  return found == this->preparedStatements.end() ? nullptr : &found->second;
}

bool SessionState::IsWrite(const Statement& aStatement) const
{
  if (aStatement.kind == StatementKind::Execute) {
    const PreparedStatement* statement = this->Find(aStatement);
    return statement != nullptr && statement->access == AccessKind::Write;
  }
  return aStatement.kind == StatementKind::Write;
}

} // namespace mustardshift::proxy

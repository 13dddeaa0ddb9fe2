#include "proxy/session/SessionState.h"

#include "core/base/Assert.h"

namespace mustardshift::proxy {

std::size_t SessionState::VariableSize(const std::string& aName) const
{
  const auto found = this->variables.find(aName);
  return found == this->variables.end() ? 0
                                        : kEntryCost + found->first.size() + found->second.size();
}

std::size_t SessionState::PreparedSize(const std::string& aName) const
{
  const auto found = this->preparedStatements.find(aName);
  return found == this->preparedStatements.end()
           ? 0
           : kEntryCost + found->first.size() + found->second.text.size();
}

std::size_t SessionState::SizeAfter(const Statement& aStatement) const
{
  const std::size_t added = kEntryCost + aStatement.name.size() + aStatement.body.size();
  switch (aStatement.kind) {
    case StatementKind::SetVariable:
      return this->size - this->VariableSize(aStatement.name) + added;
    case StatementKind::Prepare:
      return this->size - this->PreparedSize(aStatement.name) + added;
    default:
      return this->size - this->PreparedSize(aStatement.name);
  }
}

void SessionState::Apply(const Statement& aStatement)
{
  this->size = this->SizeAfter(aStatement);
  if (aStatement.kind == StatementKind::SetVariable) {
    this->variablesSize += kEntryCost + aStatement.name.size() + aStatement.body.size() -
                           this->VariableSize(aStatement.name);
  }
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

#pragma once

#include "proxy/pool/PooledConnection.h"
#include "proxy/session/PreparedStatement.h"
#include "proxy/statement/Statement.h"

#include <cstddef>
#include <map>
#include <string>

namespace mustardshift::proxy {

/** What a session keeps between statements, independent of the connections on which they run:
    session variables and prepared statements.

    Thread safety: none; one thread owns the object. */
class SessionState
{
public:
  /** Applies a SetVariable, Prepare or Deallocate statement. Precondition: aStatement is of one of
      these kinds. */
  void Apply(const Statement& aStatement);

  /** Bytes that the session would hold after Apply(). Precondition: as of Apply(). */
  std::size_t SizeAfter(const Statement& aStatement) const;
  /** Bytes of the session variables and the prepared statements, with what each entry costs. */
  std::size_t Size() const { return this->size; }
  /** Bytes of the session variables alone. */
  std::size_t VariablesSize() const { return this->variablesSize; }

  const SessionVariables& Variables() const { return this->variables; }

  /** The prepared statement that an Execute statement names; nullptr when there is none. */
  const PreparedStatement* Find(const Statement& aStatement) const;

  /** Whether a statement is a write or executes a prepared write. */
  bool IsWrite(const Statement& aStatement) const;

private:
  /** What an entry costs beside its name and its text: the nodes of the maps and the name on server
      connections. */
  static constexpr std::size_t kEntryCost = 256;

  std::size_t VariableSize(const std::string& aName) const;
  std::size_t PreparedSize(const std::string& aName) const;

  SessionVariables variables;
  std::map<std::string, PreparedStatement> preparedStatements;
  std::size_t size = 0;
  std::size_t variablesSize = 0;
};

} // namespace mustardshift::proxy

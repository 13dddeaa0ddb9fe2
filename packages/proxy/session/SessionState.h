#pragma once

#include "proxy/pool/PooledConnection.h"
#include "proxy/session/PreparedStatement.h"
#include "proxy/statement/Statement.h"

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

  const SessionVariables& Variables() const { return this->variables; }

  /** The prepared statement that an Execute statement names; nullptr when there is none. */
  const PreparedStatement* Find(const Statement& aStatement) const;

  /** Whether a statement is a write or executes a prepared write. */
  bool IsWrite(const Statement& aStatement) const;

private:
  SessionVariables variables;
  std::map<std::string, PreparedStatement> preparedStatements;
};

} // namespace mustardshift::proxy

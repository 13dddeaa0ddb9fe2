#pragma once

#include "proxy/pool/PooledConnection.h"
#include "proxy/session/PreparedStatement.h"
#include "proxy/statement/Statement.h"

#include <map>
#include <string>

namespace mustardshift::proxy {

/** What a session keeps between statements, whatever connection they run on: values and prepared
    statements.

    Thread safety: none; one thread owns the object. */
class SessionState
{
public:
  /** Carries out a SetValue, Prepare or Deallocate. Precondition: it is one of them. */
  void Apply(const Statement& aStatement);

  const SessionValues& Values() const { return this->values; }

  /** The prepared statement that an Execute names; nullptr when there is none. */
  const PreparedStatement* Find(const Statement& aStatement) const;

  /** Whether a statement writes, itself or as the execution of a prepared one. */
  bool IsWrite(const Statement& aStatement) const;

private:
  SessionValues values;
  std::map<std::string, PreparedStatement> prepared;
};

} // namespace mustardshift::proxy

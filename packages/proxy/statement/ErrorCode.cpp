#include "proxy/statement/ErrorCode.h"

namespace mustardshift::proxy {

Verdict VerdictOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::Busy:
    case ErrorCode::Aborted:
    case ErrorCode::Lagging:
    case ErrorCode::ReadOnly:
    case ErrorCode::Misrouted:
    case ErrorCode::TooManyConnections:
    case ErrorCode::UnknownStatement:
    case ErrorCode::Unauthorised:
    case ErrorCode::UnknownDatabase:
    case ErrorCode::Malformed:
      return Verdict::NotRun;
    case ErrorCode::Failed:
      return Verdict::Run;
    case ErrorCode::Timeout:
    case ErrorCode::InDoubt:
      return Verdict::MayHaveRun;
  }
  return Verdict::MayHaveRun;
}

} // namespace mustardshift::proxy

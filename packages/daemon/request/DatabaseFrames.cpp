#include "daemon/request/DatabaseFrames.h"

namespace mustardshift {

RequestId ScopedRequestId(const OrganisationName& aOrganisation, const RequestId& aRequest)
{
  return RequestId(aOrganisation.Text() + '/' + aRequest.Text());
}

database::v1::Request MakeExecuteFrame(std::uint64_t aTerm,
                                       const Statement& aStatement,
                                       const RequestId& aRequest,
                                       bool aIsReadOnly)
{
  database::v1::Request frame;
  frame.set_term(aTerm);
  database::v1::Execute* execute = frame.mutable_execute();
  execute->set_statement(aStatement.text);
  for (const std::string& parameter : aStatement.parameters) {
    execute->add_parameters(parameter);
  }
  execute->set_request_id(aRequest.Text());
  execute->set_read_only(aIsReadOnly);
  return frame;
}

LogPosition ToLogPosition(const database::v1::Position& aPosition)
{
  return { aPosition.term(), aPosition.offset() };
}

StatementResult ToStatementResult(const database::v1::Answer& aAnswer)
{
  StatementResult result;
  result.rows.assign(aAnswer.rows().begin(), aAnswer.rows().end());
  result.position = ToLogPosition(aAnswer.position());
  if (result.position.offset == 0) {
    // The log is empty, so there is no last entry to take the term from.
    result.position.term = aAnswer.accepted_term();
  }
  return result;
}

} // namespace mustardshift

#pragma once

#include "core/base/Instant.h"
#include "core/base/Outcome.h"
#include "daemon/loop/EventLoop.h"
#include "daemon/request/CallerReply.h"
#include "daemon/request/CallerRequest.h"
#include "daemon/request/RequestProcessor.h"
#include "daemon/request/TransactionId.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>

namespace mustardshift {

/** The open transactions of this VM. Each has exclusive use of one connection from begin to commit
    or rollback. A transaction that exceeds the timeout is rolled back.

    Thread safety: the request loop's thread only. */
class TransactionTable
{
public:
  using BeginCallback = std::function<void(Outcome<TransactionId>)>;

  TransactionTable(EventLoop& aLoop, RequestProcessor& aProcessor, Duration aTimeout);

  /** Opens a transaction. */
  void Begin(Instant aNow, CallerRequest aRequest, BeginCallback aReply);

  /** Runs one statement in a transaction. No statement takes effect before the commit, so all
      refusals are NotRun. */
  void Execute(Instant aNow,
               const TransactionId& aId,
               const CallerRequest& aRequest,
               ReplyCallback aReply);

  /** Commits a transaction. The request id must not be empty; the outcome is looked up by it if the
      answer is lost. */
  void Commit(Instant aNow,
              const TransactionId& aId,
              const CallerRequest& aRequest,
              ReplyCallback aReply);

  /** Rolls a transaction back. */
  void Rollback(Instant aNow,
                const TransactionId& aId,
                const CallerRequest& aRequest,
                ReplyCallback aReply);

  std::size_t OpenTransactions() const { return this->transactions.size(); }

private:
  struct Transaction;
  using TransactionPointer = std::shared_ptr<Transaction>;

  void OpenOnConnection(Instant aNow,
                        const TransactionPointer& aTransaction,
                        const BeginCallback& aReply);
  void SendBegin(Instant aNow, const TransactionPointer& aTransaction, const BeginCallback& aReply);
  void Register(Instant aNow, const TransactionPointer& aTransaction, const BeginCallback& aReply);
  Outcome<TransactionPointer> Find(Instant aNow,
                                   const TransactionId& aId,
                                   const CallerRequest& aRequest) const;
  void OnStatementAnswer(Instant aNow,
                         const TransactionPointer& aTransaction,
                         Instant aDeadline,
                         const Outcome<database::v1::Answer>& aAnswer,
                         const ReplyCallback& aReply);
  void OnCommitAnswer(Instant aNow,
                      const TransactionPointer& aTransaction,
                      const CallerRequest& aRequest,
                      const Outcome<database::v1::Answer>& aAnswer,
                      const ReplyCallback& aReply);
  void ResolveCommit(Instant aNow,
                     const TransactionPointer& aTransaction,
                     const CallerRequest& aRequest,
                     const ReplyCallback& aReply);
  void FinishCommit(const TransactionPointer& aTransaction,
                    const Outcome<StatementResult>& aResult,
                    const ReplyCallback& aReply);
  void OnTimeout(const TransactionPointer& aTransaction);
  void Remove(const TransactionPointer& aTransaction, bool aDiscardConnection);

  EventLoop& loop;
  RequestProcessor& processor;
  Duration timeout;
  std::map<TransactionId, TransactionPointer> transactions;
};

} // namespace mustardshift

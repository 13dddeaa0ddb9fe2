#pragma once

#include "adapters/database/DatabaseConnectionOptions.h"
#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "database.pb.h"

#include <functional>
#include <memory>

namespace mustardshift {

/** One connection to a database server: one bidirectional gRPC stream. It uses no thread of its
    own; frames are sent in the order of the Send() calls, and answers are matched by id.

    A connection is closed, and never usable again, after any timeout, after an answer whose id
    belongs to no outstanding request, and when the stream breaks. Its transaction, if any, is then
    rolled back by the server. Ids start at a random number on each connection, so that an answer
    meant for another connection is recognised.

    Thread safety: all methods may be called from any thread. No callback runs inside a method of
    the connection: answers are delivered on a gRPC thread, refusals on the thread of the timer.
    Callbacks must not block. Destroying the connection closes it. */
class DatabaseConnection
{
public:
  using AnswerCallback = std::function<void(Outcome<database::v1::Answer>)>;

  /** Starts to open a connection and returns at once; requests may be sent already and leave when
      the server has accepted the connection. */
  static std::unique_ptr<DatabaseConnection> Open(const ServerAddress& aAddress,
                                                  DatabaseConnectionOptions aOptions = {});

  ~DatabaseConnection();
  DatabaseConnection(const DatabaseConnection&) = delete;
  DatabaseConnection& operator=(const DatabaseConnection&) = delete;

  /** Sends a request. The id of aRequest is set by the connection, and the answer carries that id.

      @param aTimeout   time within which the answer has to arrive.
      @param aCallback  called exactly once, with the answer (whatever its status) or a refusal:
                        NotRun ConnectionFailed: the frame has not left and never will;
                        NotRun DeadlineExceeded: the same, because the time was over;
                        NotRun StatementInvalid: the frame exceeds kMaximumFrameBytes; the
                        connection stays usable;
                        MayHaveRun AnswerLost: the frame may have left, and no answer arrived. */
  void Send(database::v1::Request aRequest, Duration aTimeout, AnswerCallback aCallback);

  /** Closes the connection and refuses all outstanding requests. Does nothing on a closed one. */
  void Close();

  /** False once the connection is closed. True does not promise that the next request succeeds. */
  bool IsUsable() const;

  /** True when the server has accepted the connection and it is not closed. */
  bool IsOpened() const;

private:
  class Stream;

  explicit DatabaseConnection(std::shared_ptr<Stream> aStream);

  std::shared_ptr<Stream> stream;
};

} // namespace mustardshift

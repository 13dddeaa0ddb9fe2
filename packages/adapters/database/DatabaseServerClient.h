#pragma once

#include "core/base/Instant.h"
#include "core/base/Names.h"
#include "core/base/Outcome.h"
#include "database.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace grpc {
class Channel;
} // namespace grpc

namespace mustardshift {

/** Unary calls to one database server, outside of connections.

    Obligations assumed of the server, on which the acknowledgement of writes and the promotion
    rest:
    - it reports its accepted term and its log position in one step, so that a report never pairs an
      old term with a position reached under a newer one, or the reverse;
    - after AcceptTerm(t) it refuses statements and replication of terms below t, and never accepts
      a lower term again. For a server that does not refuse them itself, the caller compares the
      accepted term of each report and answer with the write's term;
    - the request ids of committed writes are in the log, are replicated with it and survive a
      promotion; a request whose id is in the log does not run again, but returns the stored result;
    - a position is reported only when all log entries up to it are held;
    - a server that was promoted starts its term with an entry of that term, and cuts off no entry
      that a majority held under the terms accepted before.

    All calls are idempotent. A refusal has the verdict NotRun only when the call is known not to
    have reached the server; gRPC tells this for none of its errors, so the verdict is MayHaveRun,
    with the reason ConnectionFailed (the server can't be reached) or AnswerLost (no answer in
    time).

    Thread safety: all methods may be called from any thread; the blocking ones not from gRPC
    callbacks. Callbacks run on a gRPC thread, exactly once, and must not block. They may run after
    the client was destroyed. */
class DatabaseServerClient
{
public:
  using ReportCallback = std::function<void(Outcome<database::v1::ServerReport>)>;
  using LookUpCallback = std::function<void(Outcome<database::v1::LookUpRequestResponse>)>;

  /** @param aUserAgent  identifies the calling process to the server; may be empty. */
  explicit DatabaseServerClient(const ServerAddress& aAddress, const std::string& aUserAgent = {});

  /** Asks for the accepted term, the log position, the term history and the role. */
  Outcome<database::v1::ServerReport> Report(Duration aTimeout);
  void Report(Duration aTimeout, ReportCallback aCallback);

  /** Makes the server accept a term (the fence of a promotion). The report's `accepted` is false
      when the server has accepted a higher term. */
  Outcome<database::v1::ServerReport> AcceptTerm(std::uint64_t aTerm, Duration aTimeout);
  void AcceptTerm(std::uint64_t aTerm, Duration aTimeout, ReportCallback aCallback);

  /** Makes the server the primary of a term. Precondition: the group's row records this. */
  Outcome<database::v1::ServerReport> Promote(std::uint64_t aTerm, Duration aTimeout);
  void Promote(std::uint64_t aTerm, Duration aTimeout, ReportCallback aCallback);

  /** Makes the server a replica of a term's primary. */
  Outcome<database::v1::ServerReport> Follow(std::uint64_t aTerm,
                                             const ServerAddress& aPrimary,
                                             Duration aTimeout);
  void Follow(std::uint64_t aTerm,
              const ServerAddress& aPrimary,
              Duration aTimeout,
              ReportCallback aCallback);

  /** Asks whether the server's log holds a request id. */
  Outcome<database::v1::LookUpRequestResponse> LookUpRequest(const RequestId& aRequestId,
                                                             Duration aTimeout);
  void LookUpRequest(const RequestId& aRequestId, Duration aTimeout, LookUpCallback aCallback);

private:
  std::shared_ptr<grpc::Channel> channel;
};

} // namespace mustardshift

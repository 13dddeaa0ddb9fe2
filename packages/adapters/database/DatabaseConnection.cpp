#include "adapters/database/DatabaseConnection.h"

#include "adapters/channel/ChannelFactory.h"
#include "core/base/Assert.h"
#include "database.grpc.pb.h"

#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mustardshift {

using database::v1::Answer;
using database::v1::Request;

namespace {

/** Returns the id before the first one of a connection. */
std::uint64_t RandomIdBase()
{
  static std::mutex mutex;
  static std::mt19937_64 generator{ std::random_device{}() };
  const std::lock_guard lock(mutex);
  // The low half counts the connection's requests.
  return generator() << 32U;
}

} // namespace

/** The gRPC side of a connection. It keeps itself alive until gRPC has finished with the stream. */
class DatabaseConnection::Stream
  : public grpc::ClientBidiReactor<Request, Answer>
  , public std::enable_shared_from_this<DatabaseConnection::Stream>
{
public:
  explicit Stream(DatabaseConnectionOptions aOptions)
    : options(std::move(aOptions))
    , lastId(RandomIdBase())
  {
  }

  void Start(const ServerAddress& aAddress)
  {
    this->self = this->shared_from_this();
    {
      const std::lock_guard lock(this->mutex);
      this->openTicket =
        this->options.timer->Schedule(this->options.openTimeout, [weak = this->weak_from_this()] {
          if (const auto stream = weak.lock()) {
            stream->Break("the server did not accept the connection in time", {});
          }
        });
    }
    const auto channel = MakeChannel(aAddress.Text(), this->options.userAgent);
    database::v1::DatabaseServer::NewStub(channel)->async()->Connect(&this->context, this);
    // Requests are written from outside the reactions; the hold keeps the stream until it is
    // closed.
    this->AddHold();
    this->StartRead(&this->incoming);
    this->StartCall();
  }

  void Send(Request aRequest, Duration aTimeout, AnswerCallback aCallback)
  {
    {
      const std::lock_guard lock(this->mutex);
      aRequest.set_id(++this->lastId);
    }
    if (aRequest.ByteSizeLong() > DatabaseConnectionOptions::kMaximumFrameBytes) {
      this->Deliver(std::move(aCallback),
                    RefuseNotRun(Reason::StatementInvalid, "the statement is too long"));
      return;
    }
    bool write = false;
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed) {
        this->Deliver(std::move(aCallback),
                      RefuseNotRun(Reason::ConnectionFailed, "the connection is closed"));
        return;
      }
      const std::uint64_t id = aRequest.id();
      const DeadlineTimer::Ticket ticket =
        this->options.timer->Schedule(aTimeout, [weak = this->weak_from_this(), id] {
          if (const auto stream = weak.lock()) {
            stream->Break("the answer did not arrive in time", id);
          }
        });
      this->outstanding.emplace(id, Outstanding{ std::move(aCallback), ticket, false });
      this->queue.push_back(std::move(aRequest));
      write = this->TakeNextFrame();
    }
    if (write) {
      this->StartWrite(&this->outgoing);
    }
  }

  /** Closes the stream and refuses all outstanding requests.

      @param aTimedOutId  the request whose time is over; the call does nothing if that request has
                          been answered meanwhile. */
  void Break(const std::string& aMessage, std::optional<std::uint64_t> aTimedOutId)
  {
    bool removeHold = false;
    {
      const std::lock_guard lock(this->mutex);
      if (aTimedOutId && !this->outstanding.contains(*aTimedOutId)) {
        return;
      }
      if (!aTimedOutId && this->refused) {
        return;
      }
      removeHold = this->MarkClosed();
      this->RefuseAll(aMessage, aTimedOutId);
    }
    this->context.TryCancel();
    if (removeHold) {
      this->RemoveHold();
    }
  }

  bool IsUsable() const
  {
    const std::lock_guard lock(this->mutex);
    return !this->closed;
  }

  bool IsOpened() const
  {
    const std::lock_guard lock(this->mutex);
    return this->opened && !this->closed;
  }

  void OnReadInitialMetadataDone(bool aOk) override
  {
    if (!aOk) {
      this->EndOfStream();
      return;
    }
    bool write = false;
    {
      const std::lock_guard lock(this->mutex);
      if (this->closed || this->opened) {
        return;
      }
      this->opened = true;
      this->options.timer->Cancel(this->openTicket);
      if (this->options.onOpened) {
        this->options.timer->Schedule(
          Duration(0), [opened = std::exchange(this->options.onOpened, nullptr)] { opened({}); });
      }
      write = this->TakeNextFrame();
    }
    if (write) {
      this->StartWrite(&this->outgoing);
    }
  }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      this->EndOfStream();
      return;
    }
    Answer answer = std::move(this->incoming);
    this->incoming.Clear();
    AnswerCallback callback;
    {
      const std::lock_guard lock(this->mutex);
      const auto found = this->outstanding.find(answer.id());
      if (found != this->outstanding.end() && found->second.mayHaveLeft) {
        callback = std::move(found->second.callback);
        this->options.timer->Cancel(found->second.ticket);
        this->outstanding.erase(found);
      }
    }
    if (!callback) {
      this->Break("an answer to an unknown request arrived", {});
      return;
    }
    this->StartRead(&this->incoming);
    callback(std::move(answer));
  }

  void OnWriteDone(bool aOk) override
  {
    bool write = false;
    bool removeHold = false;
    {
      const std::lock_guard lock(this->mutex);
      this->writing = false;
      if (this->closed) {
        removeHold = this->TakeHold();
      } else if (aOk) {
        write = this->TakeNextFrame();
      }
    }
    if (write) {
      this->StartWrite(&this->outgoing);
    }
    if (removeHold) {
      this->RemoveHold();
    }
    if (!aOk) {
      this->EndOfStream();
    }
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    {
      const std::lock_guard lock(this->mutex);
      this->MarkClosed();
      this->RefuseAll(
        aStatus.error_message().empty() ? "the connection broke" : aStatus.error_message(), {});
    }
    // May destroy the stream.
    const std::shared_ptr<Stream> last = std::move(this->self);
  }

private:
  struct Outstanding
  {
    AnswerCallback callback;
    DeadlineTimer::Ticket ticket;
    /** True from the moment at which the frame was handed to gRPC. */
    bool mayHaveLeft;
  };

  /** Takes the next frame into `outgoing`; returns true when the caller has to write it.
      Precondition: the mutex is held. */
  bool TakeNextFrame()
  {
    if (!this->opened || this->closed || this->writing || this->queue.empty()) {
      return false;
    }
    this->outgoing = std::move(this->queue.front());
    this->queue.pop_front();
    const auto found = this->outstanding.find(this->outgoing.id());
    MUSTARDSHIFT_ASSERT(found != this->outstanding.end());
    found->second.mayHaveLeft = true;
    this->writing = true;
    return true;
  }

  /** Makes the connection unusable; returns true when the caller has to remove the hold.
      Precondition: the mutex is held. */
  bool MarkClosed()
  {
    if (!this->closed) {
      this->closed = true;
      this->options.timer->Cancel(this->openTicket);
    }
    // While a write is under way the hold stays, so that the stream outlives StartWrite().
    return !this->writing && this->TakeHold();
  }

  /** Returns true the first time it is called. Precondition: the mutex is held. */
  bool TakeHold() { return std::exchange(this->held, false); }

  /** The server ended the stream; OnDone() follows with the reason and refuses all requests. */
  void EndOfStream()
  {
    bool removeHold = false;
    {
      const std::lock_guard lock(this->mutex);
      removeHold = this->MarkClosed();
    }
    if (removeHold) {
      this->RemoveHold();
    }
  }

  /** Refuses all outstanding requests. Precondition: the mutex is held. */
  void RefuseAll(const std::string& aMessage, std::optional<std::uint64_t> aTimedOutId)
  {
    this->queue.clear();
    for (auto& [id, request] : this->outstanding) {
      this->options.timer->Cancel(request.ticket);
      if (request.mayHaveLeft) {
        this->Deliver(std::move(request.callback), RefuseMayHaveRun(Reason::AnswerLost, aMessage));
      } else if (aTimedOutId == id) {
        this->Deliver(std::move(request.callback),
                      RefuseNotRun(Reason::DeadlineExceeded, aMessage));
      } else {
        this->Deliver(std::move(request.callback),
                      RefuseNotRun(Reason::ConnectionFailed, aMessage));
      }
    }
    this->outstanding.clear();
    if (this->refused) {
      return;
    }
    this->refused = true;
    if (this->options.onOpened) {
      this->options.timer->Schedule(
        Duration(0), [opened = std::exchange(this->options.onOpened, nullptr), message = aMessage] {
          opened(RefuseNotRun(Reason::ConnectionFailed, message));
        });
    }
    if (this->options.onClosed) {
      this->options.timer->Schedule(Duration(0), std::exchange(this->options.onClosed, nullptr));
    }
  }

  /** Hands a refusal to its callback on the timer's thread, so that the callback may take locks
      that the present caller holds. */
  void Deliver(AnswerCallback aCallback, tl::unexpected<Refusal> aRefusal)
  {
    this->options.timer->Schedule(
      Duration(0),
      [callback = std::move(aCallback), refusal = std::move(aRefusal)] { callback(refusal); });
  }

  mutable std::mutex mutex;
  DatabaseConnectionOptions options;
  grpc::ClientContext context;
  Answer incoming;
  Request outgoing;
  std::deque<Request> queue;
  std::unordered_map<std::uint64_t, Outstanding> outstanding;
  std::uint64_t lastId;
  DeadlineTimer::Ticket openTicket = 0;
  bool opened = false;
  bool closed = false;
  bool refused = false;
  bool writing = false;
  bool held = true;
  std::shared_ptr<Stream> self;
};

std::unique_ptr<DatabaseConnection> DatabaseConnection::Open(const ServerAddress& aAddress,
                                                             DatabaseConnectionOptions aOptions)
{
  auto stream = std::make_shared<Stream>(std::move(aOptions));
  stream->Start(aAddress);
  return std::unique_ptr<DatabaseConnection>(new DatabaseConnection(std::move(stream)));
}

DatabaseConnection::DatabaseConnection(std::shared_ptr<Stream> aStream)
  : stream(std::move(aStream))
{
}

DatabaseConnection::~DatabaseConnection()
{
  this->Close();
}

void DatabaseConnection::Send(Request aRequest, Duration aTimeout, AnswerCallback aCallback)
{
  this->stream->Send(std::move(aRequest), aTimeout, std::move(aCallback));
}

void DatabaseConnection::Close()
{
  this->stream->Break("the connection was closed", {});
}

bool DatabaseConnection::IsUsable() const
{
  return this->stream->IsUsable();
}

bool DatabaseConnection::IsOpened() const
{
  return this->stream->IsOpened();
}

} // namespace mustardshift

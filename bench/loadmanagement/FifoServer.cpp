#include "loadmanagement/FifoServer.h"

#include <utility>

namespace mustardshift::bench {

void FifoServer::Submit(Instant aNow, Duration aTime, Handler aHandler)
{
  if (this->running < this->slots) {
    this->Run(aNow, { aTime, std::move(aHandler) });
  } else if (this->waiting.size() < kMaxWaiting) {
    this->waiting.push_back({ aTime, std::move(aHandler) });
  } else {
    ++this->rejectedCount;
    aHandler(aNow, false);
  }
}

void FifoServer::Run(Instant aNow, Work aWork)
{
  ++this->running;
  const auto microseconds = static_cast<double>(aWork.time.count()) * this->slowness;
  const Instant end = aNow + Duration(static_cast<Duration::rep>(microseconds));
  this->scheduler.Schedule(end, [this, handler = std::move(aWork.handler)](Instant aThen) {
    --this->running;
    if (!this->waiting.empty()) {
      Work next = std::move(this->waiting.front());
      this->waiting.pop_front();
      this->Run(aThen, std::move(next));
    }
    handler(aThen, true);
  });
}

} // namespace mustardshift::bench

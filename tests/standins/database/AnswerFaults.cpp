#include "standins/database/AnswerFaults.h"

#include "standins/common/UserAgent.h"

#include <chrono>
#include <utility>

namespace mustardshift::standin {

namespace {

/** Uses up one of the faults that `aCount` counts. */
bool TakeOne(standin::v1::OneTimeFaults& aFaults,
             std::uint32_t (standin::v1::OneTimeFaults::*aCount)() const,
             void (standin::v1::OneTimeFaults::*aSet)(std::uint32_t))
{
  const std::uint32_t count = (aFaults.*aCount)();
  if (count == 0) {
    return false;
  }
  (aFaults.*aSet)(count - 1);
  return true;
}

} // namespace

using standin::v1::OneTimeFaults;

AnswerFaults::AnswerFaults(DeadlineTimer& aTimer)
  : timer(aTimer)
{
}

void AnswerFaults::Set(const standin::v1::DatabaseFaults& aFaults)
{
  std::vector<std::function<void()>> released;
  {
    const std::lock_guard lock(this->mutex);
    this->faults = aFaults;
    if (!aFaults.freeze_answers()) {
      released.swap(this->frozen);
    }
  }
  for (const auto& send : released) {
    send();
  }
}

void AnswerFaults::InjectOnce(const OneTimeFaults& aFaults)
{
  const std::lock_guard lock(this->mutex);
  this->once.set_drop_answers(this->once.drop_answers() + aFaults.drop_answers());
  this->once.set_cross_answers(this->once.cross_answers() + aFaults.cross_answers());
  this->once.set_cut_before_running(this->once.cut_before_running() + aFaults.cut_before_running());
  this->once.set_cut_after_running(this->once.cut_after_running() + aFaults.cut_after_running());
  this->once.set_late_answers(this->once.late_answers() + aFaults.late_answers());
  this->once.set_late_ms(aFaults.late_ms());
}

bool AnswerFaults::IsUnreachable(const std::string& aUserAgent)
{
  const std::lock_guard lock(this->mutex);
  return StartsWithAny(aUserAgent,
                       { this->faults.unreachable_user_agents().begin(),
                         this->faults.unreachable_user_agents().end() });
}

bool AnswerFaults::TakeCutBeforeRunning()
{
  const std::lock_guard lock(this->mutex);
  return TakeOne(
    this->once, &OneTimeFaults::cut_before_running, &OneTimeFaults::set_cut_before_running);
}

AnswerFaults::Fate AnswerFaults::Process(const void* aConnection,
                                         database::v1::Answer aAnswer,
                                         Send aSend)
{
  Duration late(0);
  std::unique_ptr<Held> other;
  {
    const std::lock_guard lock(this->mutex);
    if (TakeOne(
          this->once, &OneTimeFaults::cut_after_running, &OneTimeFaults::set_cut_after_running)) {
      return Fate::CutConnection;
    }
    if (TakeOne(this->once, &OneTimeFaults::drop_answers, &OneTimeFaults::set_drop_answers)) {
      return Fate::Drop;
    }
    if (TakeOne(this->once, &OneTimeFaults::late_answers, &OneTimeFaults::set_late_answers)) {
      late = std::chrono::milliseconds(this->once.late_ms());
    }
    if (this->held && this->held->connection != aConnection) {
      other = std::move(this->held);
    } else if (!this->held && TakeOne(this->once,
                                      &OneTimeFaults::cross_answers,
                                      &OneTimeFaults::set_cross_answers)) {
      this->held =
        std::make_unique<Held>(Held{ aConnection, std::move(aAnswer), std::move(aSend) });
      return Fate::Send;
    }
  }
  if (other) {
    std::swap(other->answer, aAnswer);
    this->Emit([send = std::move(other->send), answer = std::move(other->answer)] { send(answer); },
               late);
  }
  this->Emit([send = std::move(aSend), answer = std::move(aAnswer)] { send(answer); }, late);
  return Fate::Send;
}

void AnswerFaults::ProcessUnary(std::function<void()> aSend)
{
  this->Emit(std::move(aSend), Duration(0));
}

void AnswerFaults::Emit(std::function<void()> aSend, Duration aExtraDelay)
{
  Duration delay = aExtraDelay;
  {
    const std::lock_guard lock(this->mutex);
    if (this->faults.freeze_answers()) {
      this->frozen.push_back(std::move(aSend));
      return;
    }
    delay += std::chrono::milliseconds(this->faults.answer_delay_ms());
  }
  if (delay.count() == 0) {
    aSend();
  } else {
    this->timer.Schedule(delay, std::move(aSend));
  }
}

} // namespace mustardshift::standin

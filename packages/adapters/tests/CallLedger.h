#pragma once

#include "core/base/Outcome.h"
#include "database.pb.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mustardshift::test {

/** Checks a history of calls: each call is answered exactly once, with its own answer, and a
   refusal "not run" is true. Thread safety: all methods may be called from any thread. */
class CallLedger
{
public:
  /** Registers a call; returns its number.

      @param aExpected  the row that its answer has to carry; empty for a call without rows. */
  std::size_t Begin(std::optional<std::string> aExpected)
  {
    const std::lock_guard lock(this->mutex);
    this->calls.push_back(Entry{ std::move(aExpected), 0, {}, {} });
    return this->calls.size() - 1;
  }

  /** Registers a callback of a call. */
  void End(std::size_t aCall, const Outcome<database::v1::Answer>& aOutcome)
  {
    const std::lock_guard lock(this->mutex);
    Entry& call = this->calls.at(aCall);
    ++call.callbacks;
    call.verdict = aOutcome ? Verdict::Run : aOutcome.error().verdict;
    if (aOutcome && aOutcome->rows_size() > 0) {
      call.row = aOutcome->rows(0);
    }
  }

  std::size_t Ended() const
  {
    const std::lock_guard lock(this->mutex);
    std::size_t ended = 0;
    for (const Entry& call : this->calls) {
      ended += call.callbacks > 0 ? 1 : 0;
    }
    return ended;
  }

  /** Returns what is wrong with the history, or an empty string.

      @param aTookEffect  calls whose effect was found on the server. */
  std::string Fault(const std::map<std::size_t, bool>& aTookEffect) const
  {
    const std::lock_guard lock(this->mutex);
    for (std::size_t i = 0; i < this->calls.size(); ++i) {
      const Entry& call = this->calls[i];
      const std::string name = "call " + std::to_string(i) + " ";
      if (call.callbacks != 1) {
        return name + "was called back " + std::to_string(call.callbacks) + " times";
      }
      if (call.verdict == Verdict::Run && call.expected != call.row) {
        return name + "received the answer of another call";
      }
      const auto effect = aTookEffect.find(i);
      if (effect == aTookEffect.end()) {
        continue;
      }
      if (effect->second && call.verdict == Verdict::NotRun) {
        return name + "ran, but was reported as not run";
      }
      if (!effect->second && call.verdict == Verdict::Run) {
        return name + "was reported as run, but left no effect";
      }
    }
    return {};
  }

  /** Number of calls that ended with the verdict. */
  std::size_t Count(Verdict aVerdict) const
  {
    const std::lock_guard lock(this->mutex);
    std::size_t count = 0;
    for (const Entry& call : this->calls) {
      count += call.callbacks > 0 && call.verdict == aVerdict ? 1 : 0;
    }
    return count;
  }

private:
  struct Entry
  {
    std::optional<std::string> expected;
    int callbacks = 0;
    Verdict verdict = Verdict::NotRun;
    std::optional<std::string> row;
  };

  mutable std::mutex mutex;
  std::vector<Entry> calls;
};

} // namespace mustardshift::test

#include "usage/own_counter.h"

#include <algorithm>

namespace clementinerill::usage {
namespace {

// Bound of a batch, which covers some seconds at most.
constexpr size_t kMaxBatch = 20'000;

bool AddTo(Batch& batch,
           const std::pair<int64_t, std::string>& key,
           int64_t requests) {
  const auto known = batch.find(key);
  if (known != batch.end()) {
    known->second += requests;
    return true;
  }
  if (batch.size() >= kMaxBatch) {
    return false;
  }
  batch.emplace(key, requests);
  return true;
}

}  // namespace

bool AddRequest(Batch& batch,
                const std::string& organisation,
                BootInstant begin) {
  return AddTo(batch, {begin.time_since_epoch() / kBeginUnit, organisation}, 1);
}

void AddBatch(OwnCounter& counter, const Batch& batch) {
  for (const auto& [key, requests] : batch) {
    if (!AddTo(counter.pending_, key, requests)) {
      counter.dropped_ += static_cast<uint64_t>(requests);
    }
  }
}

void EnterPending(OwnCounter& counter,
                  CountTable& table,
                  const AgreedClock& clock,
                  std::chrono::milliseconds window_length) {
  if (!clock.offset_) {
    return;
  }
  for (const auto& [key, requests] : std::exchange(counter.pending_, {})) {
    const WallTime begin = *clock.offset_ + key.first * kBeginUnit;
    AddOwn(table, counter.process_, WindowAt(begin, window_length), key.second,
           requests);
  }
}

void MarkWindows(OwnCounter& counter,
                 CountTable& table,
                 const AgreedClock& clock,
                 std::chrono::milliseconds window_length,
                 std::chrono::milliseconds settle,
                 BootInstant now) {
  const auto time = AgreedTime(clock, now);
  if (!time) {
    return;
  }
  const WallTime started = ToWallTime(*clock.offset_, counter.started_);
  const int64_t first = WindowAt(started, window_length);
  const int64_t last = WindowAt(*time - settle, window_length) - 1;
  if (counter.last_mark_ && *counter.last_mark_ > last) {
    // The time was corrected.
    counter.last_mark_.reset();
  }
  int64_t window = std::max(counter.last_mark_.value_or(first - 1) + 1,
                            std::max(first, table.first_window_));
  for (; window <= last; ++window) {
    const Mark mark = window == first ? Mark::kPartial : Mark::kFull;
    Merge(table, {counter.process_, window, "", static_cast<int64_t>(mark)},
          true);
    counter.last_mark_ = window;
  }
}

}  // namespace clementinerill::usage

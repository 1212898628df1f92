#include "duty/apply_event.h"

#include <algorithm>
#include <utility>

#include "duty/token.h"

namespace clementinerill::duty {
namespace {

bool IsOfEra(const std::optional<Lease>& lease, int64_t era) noexcept {
  return lease && EraOfToken(lease->token_) == era;
}

void EnterEra(State& state, int64_t era) {
  state.era_ = era;
  state.known_.reset();
  // They may take effect in the new era on a revision that is given out again,
  // but entitle to nothing there.
  state.unresolved_.clear();
}

void RecordFailure(State& state, BootInstant now) {
  state.retry_at_ = now + state.rules_.retry_;
}

// Records that a write of this process is in force in the present era.
void AdoptOwnRecord(State& state,
                    const Record& record,
                    std::optional<BootInstant> sent_at) {
  const std::string previous =
      state.lease_ ? state.lease_->payload_ : std::string();
  if (state.wanted_payload_ && (*state.wanted_payload_ == record.payload_ ||
                                record.payload_ != previous)) {
    state.wanted_payload_.reset();
  }
  if (sent_at) {
    state.lease_ = Lease{record.token_, *sent_at, record.payload_};
  } else if (state.lease_ && state.lease_->token_ == record.token_) {
    state.lease_->payload_ = record.payload_;
  }
}

void ForgetImpossibleWrites(State& state) {
  auto& writes = state.unresolved_;
  const int64_t revision = state.known_->revision_;
  writes.erase(std::remove_if(writes.begin(), writes.end(),
                              [revision](const SentWrite& write) {
                                return write.revision_ != revision;
                              }),
               writes.end());
}

void DropLease(State& state) {
  state.lease_.reset();
  state.wanted_payload_.reset();
}

void JudgeObject(State& state) {
  const auto& record = state.known_->record_;
  const bool is_own = record && record->process_ == state.process_;
  if (is_own && record->era_ == state.era_) {
    const auto sent =
        std::find_if(state.unresolved_.begin(), state.unresolved_.end(),
                     [&](const SentWrite& write) {
                       return write.record_.sequence_ == record->sequence_;
                     });
    AdoptOwnRecord(state, *record,
                   sent == state.unresolved_.end()
                       ? std::nullopt
                       : std::optional(sent->sent_at_));
  } else if (IsOfEra(state.lease_, state.era_) ||
             (!is_own && record && record->era_ == state.era_)) {
    DropLease(state);
  }
  ForgetImpossibleWrites(state);
}

// Returns whether the object is the known one or newer.
bool RecordObject(State& state, const ReadEvent& event, BootInstant now) {
  auto& known = state.known_;
  if (known && event.revision_ < known->revision_) {
    return false;
  }
  const bool is_known = known && event.record_ == known->record_ &&
                        (!event.record_ || event.revision_ == known->revision_);
  const BootInstant since = is_known ? known->since_ : now;
  known = KnownObject{event.record_, event.revision_, since};
  return true;
}

// Whether the response is of the present era, which it may begin.
bool FollowEra(State& state, int64_t era) {
  if (era > state.era_) {
    EnterEra(state, era);
  }
  return era == state.era_;
}

}  // namespace

void ApplyRead(State& state, const ReadEvent& event, BootInstant now) {
  state.in_progress_ = CallInProgress::kNone;
  if (!event.is_answered_ || !FollowEra(state, event.era_)) {
    RecordFailure(state, now);
    return;
  }
  state.retry_at_.reset();
  state.last_read_ = now;
  state.must_read_ = false;
  if (RecordObject(state, event, now)) {
    JudgeObject(state);
  }
}

void ApplyWrite(State& state, const WriteEvent& event, BootInstant now) {
  state.in_progress_ = CallInProgress::kNone;
  const SentWrite sent = state.unresolved_.back();
  state.must_read_ = true;
  if (!event.is_confirmed_ || !FollowEra(state, event.era_)) {
    RecordFailure(state, now);
    return;
  }
  state.retry_at_.reset();
  if (sent.record_.era_ != state.era_) {
    return;
  }
  AdoptOwnRecord(state, sent.record_, sent.sent_at_);
  if (event.revision_ > sent.revision_) {
    state.known_ = KnownObject{sent.record_, event.revision_, now};
    state.must_read_ = false;
    ForgetImpossibleWrites(state);
  }
}

void SetCandidateRank(State& state, std::optional<int> rank) noexcept {
  if (rank && !state.candidate_rank_) {
    state.last_read_.reset();
  }
  state.candidate_rank_ = rank;
}

}  // namespace clementinerill::duty

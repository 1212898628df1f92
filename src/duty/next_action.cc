#include "duty/next_action.h"

#include <algorithm>

#include "duty/holding.h"
#include "duty/token.h"

namespace clementinerill::duty {
namespace {

// Writes whose outcome is remembered. One that is forgotten and takes effect
// later entitles to nothing until the next write.
constexpr size_t kMaxUnresolved = 8;

// Whether the lease runs, also if the store has changed its era since: nobody
// else can have acquired the duty then.
bool HasRunningLease(const State& state, BootInstant now) noexcept {
  return state.lease_ && now < state.lease_->sent_at_ + state.rules_.lease_ -
                                   state.rules_.margin_;
}

// Whether the object was written by this process in this era: nobody else has
// acquired the duty since.
bool IsOwnObject(const State& state) noexcept {
  const auto& record = state.known_->record_;
  return record && record->process_ == state.process_ &&
         record->era_ == state.era_;
}

Duration PollInterval(const State& state) noexcept {
  // The last candidate only matters when another one is lost as well.
  return state.candidate_rank_.value_or(0) < 2 ? state.rules_.poll_
                                               : 2 * state.rules_.poll_;
}

BootInstant TakeoverAt(const State& state) noexcept {
  const auto& record = state.known_->record_;
  const Duration lease = record ? std::max(record->lease_, state.rules_.lease_)
                                : state.rules_.lease_;
  return state.known_->since_ + lease + state.rules_.margin_;
}

Action WaitUntil(std::optional<BootInstant> until) {
  Action action;
  action.until_ = until;
  return action;
}

Action Read(State& state, bool may_be_stale) {
  state.in_progress_ = CallInProgress::kRead;
  Action action;
  action.kind_ = ActionKind::kRead;
  action.may_be_stale_ = may_be_stale;
  return action;
}

Action Write(State& state,
             int64_t token,
             std::string payload,
             BootInstant now) {
  Action action;
  action.kind_ = ActionKind::kWrite;
  action.record_ = {state.holder_,     state.process_,    token,
                    state.era_,        ++state.sequence_, state.rules_.lease_,
                    std::move(payload)};
  if (state.known_->record_) {
    action.revision_ = state.known_->revision_;
  }
  state.in_progress_ = CallInProgress::kWrite;
  if (state.unresolved_.size() == kMaxUnresolved) {
    state.unresolved_.erase(state.unresolved_.begin());
  }
  state.unresolved_.push_back({action.record_, state.known_->revision_, now});
  return action;
}

Action Renew(State& state, BootInstant now) {
  const Record& record = *state.known_->record_;
  return Write(state, record.token_,
               state.wanted_payload_.value_or(record.payload_), now);
}

// Waits for the next poll if no token is left.
Action Acquire(State& state, std::string payload, BootInstant now) {
  const auto& record = state.known_->record_;
  const auto token = NextToken(record ? record->token_ : 0, state.era_,
                               state.known_->revision_);
  if (!token) {
    return WaitUntil(now + PollInterval(state));
  }
  return Write(state, *token, std::move(payload), now);
}

Action ActAsHolder(State& state, BootInstant now) {
  if (!IsOwnObject(state)) {
    // The store has returned from a copy, which has lost the payload.
    return Acquire(state,
                   state.wanted_payload_.value_or(state.lease_->payload_), now);
  }
  const BootInstant renew_at = state.lease_->sent_at_ + state.rules_.renewal_;
  if (now >= renew_at || state.wanted_payload_) {
    return Renew(state, now);
  }
  return WaitUntil(renew_at);
}

Action ActAsCandidate(State& state, BootInstant now) {
  if (IsOwnObject(state)) {
    return Renew(state, now);
  }
  const BootInstant read_at = *state.last_read_ + PollInterval(state);
  const BootInstant takeover_at = TakeoverAt(state);
  if (now >= read_at) {
    return Read(state, state.unresolved_.empty());
  }
  if (now < takeover_at) {
    return WaitUntil(std::min(read_at, takeover_at));
  }
  state.wanted_payload_.reset();
  const auto& record = state.known_->record_;
  return Acquire(state, record ? record->payload_ : std::string(), now);
}

}  // namespace

Action NextAction(State& state, BootInstant now) {
  if (state.in_progress_ != CallInProgress::kNone) {
    return {};
  }
  const bool has_lease = HasRunningLease(state, now);
  if (!has_lease && !state.candidate_rank_) {
    return {};
  }
  if (state.retry_at_ && now < *state.retry_at_) {
    return WaitUntil(state.retry_at_);
  }
  if (state.must_read_ || !state.known_ || !state.last_read_) {
    return Read(state, !has_lease && state.unresolved_.empty());
  }
  return has_lease ? ActAsHolder(state, now) : ActAsCandidate(state, now);
}

}  // namespace clementinerill::duty

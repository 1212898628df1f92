#include "duty/holding.h"

#include <utility>

#include "duty/state.h"
#include "duty/token.h"

namespace clementinerill::duty {

std::optional<int64_t> MayCall(const State& state,
                               BootInstant now,
                               Duration timeout) noexcept {
  const auto& lease = state.lease_;
  const bool may_call = lease && EraOfToken(lease->token_) == state.era_ &&
                        now + timeout < lease->sent_at_ + state.rules_.lease_ -
                                            state.rules_.margin_;
  return may_call ? std::optional(lease->token_) : std::nullopt;
}

std::optional<int64_t> HeldToken(const State& state, BootInstant now) noexcept {
  return MayCall(state, now, Duration::zero());
}

const std::string* PayloadInForce(const State& state,
                                  BootInstant now) noexcept {
  return HeldToken(state, now) ? &state.lease_->payload_ : nullptr;
}

bool SetPayload(State& state, std::string payload, BootInstant now) {
  if (!HeldToken(state, now)) {
    return false;
  }
  if (state.lease_->payload_ == payload && state.unresolved_.empty()) {
    state.wanted_payload_.reset();
  } else {
    state.wanted_payload_ = std::move(payload);
  }
  return true;
}

bool HasPendingPayload(const State& state) noexcept {
  return state.wanted_payload_.has_value();
}

}  // namespace clementinerill::duty

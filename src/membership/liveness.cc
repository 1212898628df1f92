#include "membership/liveness.h"

#include "membership/timing.h"

namespace clementinerill {
namespace {

bool IsReportValid(const GroupState& state, int witness, Instant now) noexcept {
  if (witness == state.self_) {
    return IsWitness(state, now);
  }
  return state.peers_[witness].witness_ && HeardRecently(state, witness, now);
}

bool ReportsHeard(const GroupState& state,
                  int witness,
                  int member,
                  Instant now) noexcept {
  if (witness == state.self_) {
    return HeardRecently(state, member, now);
  }
  return ((state.peers_[witness].hears_ >> member) & 1U) != 0;
}

}  // namespace

bool IsWitness(const GroupState& state, Instant now) noexcept {
  return now - state.started_ >= kWitnessStartupDelay;
}

bool HeardRecently(const GroupState& state, int member, Instant now) noexcept {
  if (member == state.self_) {
    return true;
  }
  const auto& heard = state.peers_[member].last_heard_;
  return heard && now - *heard < kHeartbeatTimeout;
}

void UpdateLiveness(GroupState& state, Instant now) {
  const int size = static_cast<int>(state.peers_.size());
  const int majority = MajorityOf(state.group_);
  for (int member = 0; member < size; ++member) {
    int heard_count = 0;
    int silent_count = 0;
    for (int witness = 0; witness < size; ++witness) {
      if (IsReportValid(state, witness, now)) {
        const bool is_heard = ReportsHeard(state, witness, member, now);
        ++(is_heard ? heard_count : silent_count);
      }
    }
    bool& live = state.peers_[member].live_;
    live = live ? silent_count < majority : heard_count >= majority;
  }
}

}  // namespace clementinerill

#include "membership/previous_group.h"

namespace clementinerill {
namespace {

uint64_t BitsToPrevious(uint64_t bits, const std::vector<int>& previous) {
  uint64_t result = 0;
  for (size_t index = 0; index < previous.size(); ++index) {
    if (previous[index] >= 0 && ((bits >> index) & 1U) != 0) {
      result |= uint64_t{1} << previous[index];
    }
  }
  return result;
}

uint64_t BitsFromPrevious(uint64_t bits, const std::vector<int>& previous) {
  uint64_t result = 0;
  for (size_t index = 0; index < previous.size(); ++index) {
    if (previous[index] >= 0 && ((bits >> previous[index]) & 1U) != 0) {
      result |= uint64_t{1} << index;
    }
  }
  return result;
}

}  // namespace

Heartbeat ToPreviousGroup(const PreviousGroup& previous, Heartbeat heartbeat) {
  heartbeat.group_ = previous.digest_;
  heartbeat.hears_ = static_cast<uint32_t>(
      BitsToPrevious(heartbeat.hears_, previous.members_));
  heartbeat.grants_ = BitsToPrevious(heartbeat.grants_, previous.seats_);
  return heartbeat;
}

Heartbeat FromPreviousGroup(const PreviousGroup& previous,
                            Heartbeat heartbeat) {
  heartbeat.hears_ = static_cast<uint32_t>(
      BitsFromPrevious(heartbeat.hears_, previous.members_));
  heartbeat.grants_ = BitsFromPrevious(heartbeat.grants_, previous.seats_);
  return heartbeat;
}

}  // namespace clementinerill

#include "traffic/skip_overloaded_parts.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

// A part is skipped if its expected latency exceeds this multiple of the time
// until the response: expected latencies are rough estimates, and a part that
// was sent may still be in time.
constexpr double kExpectedLatencyFactor = 1.3;

// Counts the parts that the response does not require, apart from those that
// have failed or are expected to fail.
size_t CountSpareParts(const Query& query,
                       const std::vector<ReplicaChoice>& choices) {
  double usable = 0;
  for (const ReplicaChoice& choice : choices) {
    usable += choice.replica_ ? 1.0 - choice.failure_probability_ : 0.0;
  }
  const auto required = static_cast<double>(RequiredParts(query));
  return static_cast<size_t>(std::max(0.0, std::round(usable - required)));
}

}  // namespace

void SkipOverloadedParts(Query& query,
                         const std::vector<ReplicaChoice>& choices,
                         Instant now) {
  const size_t spare = CountSpareParts(query, choices);
  if (spare == 0) {
    return;
  }
  const auto limit =
      Scale(query.partial_response_at_ - now, kExpectedLatencyFactor);
  std::vector<size_t> slow;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (choices[i].replica_ && choices[i].expected_latency_ > limit) {
      slow.push_back(i);
    }
  }
  std::sort(slow.begin(), slow.end(), [&choices](size_t a, size_t b) {
    return choices[a].expected_latency_ > choices[b].expected_latency_;
  });
  slow.resize(std::min(slow.size(), spare));
  for (const size_t part : slow) {
    query.parts_[part].state_ = PartState::kSkipped;
  }
}

}  // namespace clementinerill::traffic

#include "traffic/skip_overloaded_parts.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

// A part is skipped when its expected latency exceeds this multiple of the time
// until the answer: expectations are rough, and a part that was sent may still
// be in time.
constexpr double kExpectedShareOfTime = 1.3;

// How many parts the answer may do without besides those that have failed and
// those that are expected to.
size_t CountSpareParts(const Query& query,
                       const std::vector<ReplicaChoice>& choices) {
  double usable = 0;
  for (const ReplicaChoice& choice : choices) {
    usable += choice.replica_ ? 1.0 - choice.failure_chance_ : 0.0;
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
  const auto limit = Scale(query.answer_by_ - now, kExpectedShareOfTime);
  std::vector<size_t> slow;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (choices[i].replica_ && choices[i].expected_ > limit) {
      slow.push_back(i);
    }
  }
  std::sort(slow.begin(), slow.end(), [&choices](size_t a, size_t b) {
    return choices[a].expected_ > choices[b].expected_;
  });
  slow.resize(std::min(slow.size(), spare));
  for (const size_t part : slow) {
    query.parts_[part].state_ = PartState::kSkipped;
  }
}

}  // namespace clementinerill::traffic

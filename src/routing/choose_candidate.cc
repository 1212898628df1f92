#include "routing/choose_candidate.h"

#include <algorithm>

namespace clementinerill {
namespace {

bool OffersSnapshot(const UpstreamCandidate& candidate,
                    const std::optional<Snapshot>& snapshot) noexcept {
  if (!snapshot) {
    return true;
  }
  return candidate.offers_ &&
         std::find(candidate.offers_->begin(), candidate.offers_->end(),
                   *snapshot) != candidate.offers_->end();
}

bool IsSkipped(const UpstreamCandidate& candidate, Instant now) noexcept {
  return now < candidate.skip_until_;
}

bool IsEligible(const UpstreamCandidate& candidate,
                const std::optional<Snapshot>& snapshot) noexcept {
  return candidate.open_ && OffersSnapshot(candidate, snapshot);
}

// Returns true if every eligible upstream is in its skip period. Skips are then
// ignored: waiting for the shortest one to end could make every query miss its
// deadline.
bool AllSkipped(const std::vector<UpstreamCandidate>& candidates,
                const std::optional<Snapshot>& snapshot,
                Instant now) noexcept {
  return std::all_of(candidates.begin(), candidates.end(),
                     [&](const UpstreamCandidate& candidate) {
                       return !IsEligible(candidate, snapshot) ||
                              IsSkipped(candidate, now);
                     });
}

bool IsBetter(const UpstreamCandidate& a, const UpstreamCandidate& b) noexcept {
  if (a.tried_ != b.tried_) {
    return !a.tried_;
  }
  return a.expected_latency_ * (a.in_use_ + 1) * b.limit_ <
         b.expected_latency_ * (b.in_use_ + 1) * a.limit_;
}

}  // namespace

tl::expected<size_t, Reason> ChooseCandidate(
    const std::vector<UpstreamCandidate>& candidates,
    const std::optional<Snapshot>& snapshot,
    Instant now) noexcept {
  Reason reason = Reason::kNoUpstream;
  std::optional<size_t> best;
  const bool ignore_skips = AllSkipped(candidates, snapshot, now);
  for (size_t i = 0; i < candidates.size(); ++i) {
    const UpstreamCandidate& candidate = candidates[i];
    if (!candidate.open_) {
      continue;
    }
    if (!OffersSnapshot(candidate, snapshot)) {
      reason = reason == Reason::kNoSlot ? reason : Reason::kNoSnapshot;
      continue;
    }
    reason = Reason::kNoSlot;
    const bool usable = candidate.in_use_ < candidate.limit_ &&
                        (ignore_skips || !IsSkipped(candidate, now));
    if (usable && (!best || IsBetter(candidate, candidates[*best]))) {
      best = i;
    }
  }
  if (!best) {
    return tl::make_unexpected(reason);
  }
  return *best;
}

}  // namespace clementinerill

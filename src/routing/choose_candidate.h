#ifndef CLEMENTINERILL_ROUTING_CHOOSE_CANDIDATE_H_
#define CLEMENTINERILL_ROUTING_CHOOSE_CANDIDATE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "base/time.h"
#include "routing/upstream_candidate.h"
#include "sweep/reason.h"

namespace clementinerill {

/// @brief Chooses the upstream for one attempt.
///
/// Prefers upstreams that the part has not tried, then the least expected
/// latency weighted by the requests already running there.
///
/// @return The index of the candidate, or why there is none: `kNoUpstream`
/// when none is open, `kNoSnapshot` when no open one offers the snapshot,
/// `kNoSlot` when one may become usable later.
[[nodiscard]] tl::expected<size_t, Reason> ChooseCandidate(
    const std::vector<UpstreamCandidate>& candidates,
    const std::optional<Snapshot>& snapshot,
    Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_CHOOSE_CANDIDATE_H_

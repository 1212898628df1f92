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

/// @brief Selects the upstream for one attempt.
///
/// Prefers upstreams that the part has not tried yet, then the lowest expected
/// latency weighted by utilisation, `(in_use_ + 1) / limit_`.
///
/// @return The index of the candidate, or the reason that there is none:
/// `kNoUpstream` when none is open, `kNoSnapshot` when no open one offers the
/// snapshot, `kNoSlot` when an open one offers it but has no free slot or is
/// skipped, and may become usable later.
[[nodiscard]] tl::expected<size_t, Reason> ChooseCandidate(
    const std::vector<UpstreamCandidate>& candidates,
    const std::optional<Snapshot>& snapshot,
    Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_CHOOSE_CANDIDATE_H_

#ifndef CLEMENTINERILL_MEMBERSHIP_ADVISORY_MAP_H_
#define CLEMENTINERILL_MEMBERSHIP_ADVISORY_MAP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "membership/advisory.h"

namespace clementinerill {

/// @brief The advisory in force for each kind and subject.
struct AdvisoryMap {
  std::map<std::pair<AdvisoryKind, std::string>, Advisory> entries_;
};

/// @brief Merges one advisory; returns whether the map changed.
bool MergeAdvisory(AdvisoryMap& map, const Advisory& advisory);

/// @brief Merges several advisories; returns those that changed the map. The
/// caller applies these and forwards them to its peers.
std::vector<Advisory> MergeAdvisories(AdvisoryMap& map,
                                      const std::vector<Advisory>& advisories);

/// @brief Whether an active advisory of this kind takes the subject out of
/// service.
[[nodiscard]] bool IsActive(const AdvisoryMap& map,
                            AdvisoryKind kind,
                            const std::string& subject);

/// @brief Hash of all entries without their origins. Peers whose maps have the
/// same digest send each other no advisories.
[[nodiscard]] uint32_t DigestOf(const AdvisoryMap& map);

/// @brief The advisories to send to a peer with the given digest: none when
/// the digests agree, otherwise all.
[[nodiscard]] std::vector<Advisory> AdvisoriesToSend(const AdvisoryMap& map,
                                                     uint32_t peer_digest);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ADVISORY_MAP_H_

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

/// @brief The winning advisory of each kind and subject.
struct AdvisoryMap {
  std::map<std::pair<AdvisoryKind, std::string>, Advisory> entries_;
};

/// @brief Merges one advisory; returns whether it replaced the entry.
bool MergeAdvisory(AdvisoryMap& map, const Advisory& advisory);

/// @brief Merges a set; returns the advisories that replaced entries, which
/// are the ones to apply and to pass on.
std::vector<Advisory> MergeAdvisories(AdvisoryMap& map,
                                      const std::vector<Advisory>& advisories);

/// @brief Whether the subject is out of service.
[[nodiscard]] bool IsActive(const AdvisoryMap& map,
                            AdvisoryKind kind,
                            const std::string& subject);

/// @brief Hash of all entries, independent of their origin. Two maps with the
/// same digest need no exchange.
[[nodiscard]] uint32_t DigestOf(const AdvisoryMap& map);

/// @brief The advisories to send to a peer with the given digest: none when
/// the digests agree, otherwise all.
[[nodiscard]] std::vector<Advisory> AdvisoriesToSend(const AdvisoryMap& map,
                                                     uint32_t peer_digest);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ADVISORY_MAP_H_

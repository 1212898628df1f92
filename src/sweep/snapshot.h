#ifndef CLEMENTINERILL_SWEEP_SNAPSHOT_H_
#define CLEMENTINERILL_SWEEP_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace clementinerill {

/// @brief An index version under a partition map.
///
/// Both numbers only increase. Snapshots are ordered by partition map first and
/// by index version second.
struct Snapshot {
  uint64_t index_version_ = 0;
  uint64_t partition_map_ = 0;

  friend bool operator==(const Snapshot& a, const Snapshot& b) noexcept {
    return a.index_version_ == b.index_version_ &&
           a.partition_map_ == b.partition_map_;
  }
  friend bool operator<(const Snapshot& a, const Snapshot& b) noexcept {
    return std::tie(a.partition_map_, a.index_version_) <
           std::tie(b.partition_map_, b.index_version_);
  }
};

/// @brief Formats as `<index version>@<partition map>`.
[[nodiscard]] std::string Format(const Snapshot& snapshot);

/// @brief Formats the comma-separated value of the header `X-Offers`.
[[nodiscard]] std::string FormatOffers(const std::vector<Snapshot>& offers);

/// @brief Parses the value of the header `X-Offers`; returns `std::nullopt` if
/// any entry is malformed.
[[nodiscard]] std::optional<std::vector<Snapshot>> ParseOffers(
    std::string_view text);

/// @brief Returns the newest snapshot that every service offers, or
/// `std::nullopt` if there is none.
///
/// @param offers For each service, all snapshots that its replicas offer.
[[nodiscard]] std::optional<Snapshot> NewestCommonSnapshot(
    const std::vector<std::vector<Snapshot>>& offers);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_SNAPSHOT_H_

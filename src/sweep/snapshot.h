#ifndef CLEMENTINERILL_SWEEP_SNAPSHOT_H_
#define CLEMENTINERILL_SWEEP_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace clementinerill {

/// @brief One index version under one partition map.
///
/// Both numbers rise; a snapshot with a newer partition map is newer whatever
/// its index version.
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

/// @brief Formats the value of the header `X-Offers`, separated by commas.
[[nodiscard]] std::string FormatOffers(const std::vector<Snapshot>& offers);

/// @brief Parses the header `X-Offers`; nothing when any entry is malformed.
[[nodiscard]] std::optional<std::vector<Snapshot>> ParseOffers(
    std::string_view text);

/// @brief The newest snapshot that every service offers, or nothing.
///
/// @param offers For each service, all snapshots that its replicas offer.
[[nodiscard]] std::optional<Snapshot> NewestCommonSnapshot(
    const std::vector<std::vector<Snapshot>>& offers);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_SNAPSHOT_H_

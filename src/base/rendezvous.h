#ifndef CLEMENTINERILL_BASE_RENDEZVOUS_H_
#define CLEMENTINERILL_BASE_RENDEZVOUS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace clementinerill {

/// @brief Orders `members` by rendezvous hashing for `key`, highest score
/// first.
///
/// Every process computes the same order. Removing a member moves only the keys
/// for which it ranked first. Ties are broken by name.
[[nodiscard]] std::vector<std::string> RankByRendezvous(
    std::string_view key,
    std::vector<std::string> members);

/// @brief Returns the position of `member` in that order, from 0; unset if it
/// is not one of `members`.
[[nodiscard]] std::optional<size_t> RendezvousRank(
    std::string_view key,
    std::string_view member,
    const std::vector<std::string>& members);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_RENDEZVOUS_H_

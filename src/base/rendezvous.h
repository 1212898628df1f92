#ifndef CLEMENTINERILL_BASE_RENDEZVOUS_H_
#define CLEMENTINERILL_BASE_RENDEZVOUS_H_

#include <string>
#include <string_view>
#include <vector>

namespace clementinerill {

/// @brief Orders `members` by rendezvous rank for `key`, best first.
///
/// Every process computes the same order. Removing one member moves only the
/// keys which that member was best for. Ties are broken by name.
[[nodiscard]] std::vector<std::string> RankByRendezvous(
    std::string_view key,
    std::vector<std::string> members);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_RENDEZVOUS_H_

#ifndef CLEMENTINERILL_SETTINGS_NEAREST_KEY_H_
#define CLEMENTINERILL_SETTINGS_NEAREST_KEY_H_

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace clementinerill {

/// @brief Levenshtein distance: the minimum number of insertions, deletions and
/// substitutions of single characters that turn `a` into `b`.
[[nodiscard]] size_t EditDistance(std::string_view a, std::string_view b);

/// @brief The known key with the smallest edit distance to `key`. A tie goes to
/// the lexicographically first key; empty when `known` is empty.
[[nodiscard]] std::string NearestKey(std::string_view key,
                                     const std::set<std::string>& known);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_NEAREST_KEY_H_

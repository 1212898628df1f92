#ifndef CLEMENTINERILL_BASE_HASH_H_
#define CLEMENTINERILL_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace clementinerill {

/// @brief Returns the 64-bit xxHash of `text`; the result is the same in every
/// process and release.
[[nodiscard]] uint64_t Hash64(std::string_view text,
                              uint64_t seed = 0) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_HASH_H_

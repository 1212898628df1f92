#ifndef CLEMENTINERILL_SWEEP_KEY_RANGE_H_
#define CLEMENTINERILL_SWEEP_KEY_RANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinerill {

/// @brief Exclusive end of the key space; keys are hashes from 0 to 2^32 - 1.
inline constexpr uint64_t kKeySpaceEnd = uint64_t{1} << 32;

/// @brief The half-open range of keys [`begin_`, `end_`).
struct KeyRange {
  uint64_t begin_ = 0;
  uint64_t end_ = 0;

  friend bool operator==(const KeyRange& a, const KeyRange& b) noexcept {
    return a.begin_ == b.begin_ && a.end_ == b.end_;
  }
};

/// @brief Whether the range is non-empty and within the key space.
[[nodiscard]] bool IsValid(const KeyRange& range) noexcept;

/// @brief Formats as `<begin>-<end>`, as in the header `X-Range`.
[[nodiscard]] std::string Format(const KeyRange& range);

/// @brief Parses the output of `Format`; returns `std::nullopt` if the text is
/// malformed or the range is invalid.
[[nodiscard]] std::optional<KeyRange> ParseKeyRange(
    std::string_view text) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_KEY_RANGE_H_

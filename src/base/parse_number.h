#ifndef CLEMENTINERILL_BASE_PARSE_NUMBER_H_
#define CLEMENTINERILL_BASE_PARSE_NUMBER_H_

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

namespace clementinerill {

/// @brief Parses an unsigned decimal integer.
///
/// Returns `std::nullopt` if the text is empty, contains anything but digits or
/// does not fit into 64 bits.
[[nodiscard]] inline std::optional<uint64_t> ParseNumber(
    std::string_view text) noexcept {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

/// @brief Parses an unsigned decimal integer of at most `max`.
///
/// A larger number gives `max`: the numbers of other processes are bounds or
/// hints, which a cap keeps useful. Returns `std::nullopt` if the text is no
/// unsigned decimal integer of 64 bits.
[[nodiscard]] inline std::optional<uint64_t> ParseNumberUpTo(
    std::string_view text,
    uint64_t max) noexcept {
  const auto value = ParseNumber(text);
  return value ? std::optional(std::min(*value, max)) : std::nullopt;
}

/// @brief Parses a non-negative decimal number such as `34.1`.
///
/// Returns `std::nullopt` if the text is empty, negative, not finite, or
/// contains anything but a number in fixed notation.
[[nodiscard]] inline std::optional<double> ParseDecimal(
    std::string_view text) noexcept {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (text.empty() || error != std::errc() || stop != end ||
      !std::isfinite(value) || value < 0) {
    return std::nullopt;
  }
  return value;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_PARSE_NUMBER_H_

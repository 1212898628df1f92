#ifndef CLEMENTINERILL_SETTINGS_QUANTITY_H_
#define CLEMENTINERILL_SETTINGS_QUANTITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinerill {

/// @brief A unit in text and its size in the smallest unit of its table.
struct Unit {
  std::string_view name_;
  int64_t factor_;
};

/// @brief The size in the smallest unit of a whole number with a unit, or
/// nothing when the text is malformed, negative or too large.
[[nodiscard]] std::optional<int64_t> ParseQuantity(std::string_view text,
                                                   const Unit* units,
                                                   size_t unit_count) noexcept;

/// @brief Writes `amount` in the largest unit that keeps it whole. The units
/// rise and the first has the factor 1.
[[nodiscard]] std::string FormatQuantity(int64_t amount,
                                         const Unit* units,
                                         size_t unit_count);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_QUANTITY_H_

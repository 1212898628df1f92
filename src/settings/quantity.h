#ifndef CLEMENTINERILL_SETTINGS_QUANTITY_H_
#define CLEMENTINERILL_SETTINGS_QUANTITY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace clementinerill {

/// @brief A unit suffix and its size in the smallest unit of the same table.
struct Unit {
  std::string_view name_;
  int64_t factor_;
};

/// @brief Parses a whole number followed by a unit and converts it to the
/// smallest unit. Returns nullopt when the text is malformed, negative or too
/// large.
[[nodiscard]] std::optional<int64_t> ParseQuantity(std::string_view text,
                                                   const Unit* units,
                                                   size_t unit_count) noexcept;

/// @brief Formats `amount`, in the smallest unit, in the largest unit that
/// gives a whole number. `units` is in ascending order and starts with factor
/// 1.
[[nodiscard]] std::string FormatQuantity(int64_t amount,
                                         const Unit* units,
                                         size_t unit_count);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_QUANTITY_H_

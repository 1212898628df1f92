#ifndef CLEMENTINERILL_BASE_NAME_TABLE_H_
#define CLEMENTINERILL_BASE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace clementinerill {

/// @brief One row of the name table of an enumeration.
template <typename Enum>
struct NameEntry {
  Enum value_;
  std::string_view name_;
};

/// @brief Returns the name of `value`, or an empty view if the table has no row
/// for it.
template <typename Enum, size_t N>
[[nodiscard]] constexpr std::string_view NameOf(
    const std::array<NameEntry<Enum>, N>& table,
    Enum value) noexcept {
  for (const auto& entry : table) {
    if (entry.value_ == value) {
      return entry.name_;
    }
  }
  return {};
}

/// @brief Returns the value with the given name, or `std::nullopt` if the name
/// is unknown.
template <typename Enum, size_t N>
[[nodiscard]] constexpr std::optional<Enum> ValueOf(
    const std::array<NameEntry<Enum>, N>& table,
    std::string_view name) noexcept {
  for (const auto& entry : table) {
    if (entry.name_ == name) {
      return entry.value_;
    }
  }
  return std::nullopt;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_NAME_TABLE_H_

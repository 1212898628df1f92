#include "settings/quantity.h"

#include <charconv>
#include <limits>

namespace clementinerill {

std::optional<int64_t> ParseQuantity(std::string_view text,
                                     const Unit* units,
                                     size_t unit_count) noexcept {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || number < 0 || text.front() == '-') {
    return std::nullopt;
  }
  const std::string_view name(parsed_end,
                              static_cast<size_t>(end - parsed_end));
  for (size_t i = 0; i < unit_count; ++i) {
    if (units[i].name_ != name) {
      continue;
    }
    if (number > std::numeric_limits<int64_t>::max() / units[i].factor_) {
      return std::nullopt;
    }
    return number * units[i].factor_;
  }
  return std::nullopt;
}

std::string FormatQuantity(int64_t amount,
                           const Unit* units,
                           size_t unit_count) {
  size_t unit_index = 0;
  for (size_t i = 1; i < unit_count && amount != 0; ++i) {
    if (amount % units[i].factor_ == 0) {
      unit_index = i;
    }
  }
  return std::to_string(amount / units[unit_index].factor_) +
         std::string(units[unit_index].name_);
}

}  // namespace clementinerill

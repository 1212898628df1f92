#include "settings/duration_text.h"

#include <array>

#include "settings/quantity.h"

namespace clementinerill {
namespace {

constexpr std::array<Unit, 4> kUnits = {{
    {"us", 1},
    {"ms", 1'000},
    {"s", 1'000'000},
    {"min", 60'000'000},
}};

// More microseconds would overflow `Duration`, which counts nanoseconds.
constexpr int64_t kMaxMicroseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(Duration::max())
        .count();

}  // namespace

Result<Duration> ParseDuration(std::string_view text) {
  const auto amount = ParseQuantity(text, kUnits.data(), kUnits.size());
  if (!amount || *amount > kMaxMicroseconds) {
    return Fail(
        "must be a whole number with the unit us, ms, s or min, such as 250ms");
  }
  return std::chrono::microseconds(*amount);
}

std::string FormatDuration(Duration duration) {
  const auto amount =
      std::chrono::duration_cast<std::chrono::microseconds>(duration);
  return FormatQuantity(amount.count(), kUnits.data(), kUnits.size());
}

}  // namespace clementinerill

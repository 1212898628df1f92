#include "settings/size_text.h"

#include <array>

#include "settings/quantity.h"

namespace clementinerill {
namespace {

constexpr std::array<Unit, 4> kUnits = {{
    {"B", 1},
    {"KiB", 1'024},
    {"MiB", 1'048'576},
    {"GiB", 1'073'741'824},
}};

}  // namespace

Result<int64_t> ParseSize(std::string_view text) {
  const auto amount = ParseQuantity(text, kUnits.data(), kUnits.size());
  if (!amount) {
    return Fail(
        "must be a whole number with the unit B, KiB, MiB or GiB, such as "
        "64KiB");
  }
  return *amount;
}

std::string FormatSize(int64_t bytes) {
  return FormatQuantity(bytes, kUnits.data(), kUnits.size());
}

}  // namespace clementinerill

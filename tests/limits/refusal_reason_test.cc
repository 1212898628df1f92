#include "limits/refusal_reason.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against a reason without a name, or two that share a metric label.
TEST_CASE("every refusal reason has its own name", "[refusal]") {
  const auto last = static_cast<int>(RefusalReason::kDraining);
  CHECK(kRefusalReasonNames.size() == static_cast<size_t>(last) + 1);
  for (int value = 0; value <= last; ++value) {
    const auto reason = static_cast<RefusalReason>(value);
    const auto name = NameOf(kRefusalReasonNames, reason);
    CHECK_FALSE(name.empty());
    CHECK(ValueOf(kRefusalReasonNames, name) == reason);
  }
}

}  // namespace
}  // namespace clementinerill

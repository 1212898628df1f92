#include "gateway/listener_limits.h"

#include <catch2/catch.hpp>

namespace clementinerill::gateway {

// Guards against listeners that leave no descriptors for replicas, daemons and
// the store, or take more than the memory of the smallest VM.
TEST_CASE("listeners leave descriptors and memory for the rest",
          "[gateway][callers]") {
  const auto sum = [](const ConnectionLimits& limits) {
    return limits.callers_ + limits.relay_ + limits.forwards_ + limits.ready_ +
           limits.operators_;
  };
  const auto smallest = MakeConnectionLimits(2870, 112'000'000);
  CHECK(sum(smallest) <= 2870 * 5 / 8);
  CHECK(smallest.callers_ == 895);
  const auto little_memory = MakeConnectionLimits(100'000, 48'000'000);
  CHECK(sum(little_memory) <= 1000);
  CHECK(little_memory.callers_ == 500);
}

// Guards against a listener that accepts nobody because the limits are low.
TEST_CASE("each listener has room however low the limits are",
          "[gateway][callers]") {
  const auto none = MakeConnectionLimits(0, 0);
  CHECK(none.callers_ == 4);
  CHECK(none.operators_ == 4);
}

// Guards against a fleet of 1,000 daemons whose readers do not fit on a relay:
// a failure domain of a third of them follows one.
TEST_CASE("a relay has room for the readers of a large fleet",
          "[gateway][callers]") {
  CHECK(MakeConnectionLimits(4100, 160'000'000).relay_ >= 334);
  CHECK(MakeConnectionLimits(2870, 112'000'000).relay_ >= 334);
}

// Guards against a limit in the settings that is above that of the system.
TEST_CASE("the lower limit of descriptors holds", "[gateway][callers]") {
  GatewayOptions options;
  const auto of_system = DescriptorLimit(options);
  options.max_descriptors_ = of_system + 1;
  CHECK(DescriptorLimit(options) == of_system);
  options.max_descriptors_ = of_system - 1;
  CHECK(DescriptorLimit(options) == of_system - 1);
}

}  // namespace clementinerill::gateway

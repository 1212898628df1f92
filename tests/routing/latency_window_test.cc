#include "routing/latency_window.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

LatencyWindow MakeFullWindow(Duration latency) {
  LatencyWindow window;
  for (size_t i = 0; i < 2 * LatencyWindow::kCapacity; ++i) {
    AddSample(window, latency);
  }
  return window;
}

// Guards against a slow upstream raising the hedge delay for its own requests.
TEST_CASE("one slow upstream does not shift the typical quantile",
          "[latency]") {
  const LatencyWindow fast = MakeFullWindow(milliseconds(5));
  const LatencyWindow slow = MakeFullWindow(milliseconds(100));
  CHECK(TypicalQuantile({&fast, &slow, &fast}, 0.99) == milliseconds(5));
}

TEST_CASE("too few samples give no quantile", "[latency]") {
  LatencyWindow window;
  AddSample(window, milliseconds(5));
  CHECK(TypicalQuantile({&window}, 0.99) == Duration(0));
  CHECK(TypicalQuantile({}, 0.99) == Duration(0));
}

}  // namespace
}  // namespace clementinerill

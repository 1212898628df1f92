#include "metrics/latency_axis.h"

namespace clementinerill {

LatencyAxis MakeLatencyAxis() {
  return LatencyAxis(kLatencySteps, kShortestLatencySeconds,
                     kLongestLatencySeconds);
}

}  // namespace clementinerill

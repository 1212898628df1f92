#include "metrics/latency_axis.h"

namespace clementinerill {

LatencyAxis MakeLatencyAxis() {
  return LatencyAxis(kInRangeBuckets, kMinLatencySeconds, kMaxLatencySeconds);
}

}  // namespace clementinerill

#ifndef CLEMENTINERILL_METRICS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_METRICS_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class Counter;
class Gauge;
class LatencyHistogram;
class LatencyRecorder;
class MetricsRegistry;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_FORWARD_DECLARATIONS_H_

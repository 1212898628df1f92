#ifndef CLEMENTINERILL_METRICS_METRICS_H_
#define CLEMENTINERILL_METRICS_METRICS_H_

// Umbrella header of the metrics library.

#include "metrics/counter.h"
#include "metrics/forward_declarations.h"
#include "metrics/gauge.h"
#include "metrics/latency_axis.h"
#include "metrics/latency_codec.h"
#include "metrics/latency_histogram.h"
#include "metrics/latency_recorder.h"
#include "metrics/metric_labels.h"
#include "metrics/prometheus_text.h"
#include "metrics/reason_counters.h"
#include "metrics/registry.h"
#include "metrics/thread_shard.h"

#endif  // CLEMENTINERILL_METRICS_METRICS_H_

#ifndef CLEMENTINERILL_DAEMON_DAEMON_METRICS_H_
#define CLEMENTINERILL_DAEMON_DAEMON_METRICS_H_

#include "limits/refusal_reason.h"
#include "metrics/metrics.h"
#include "sweep/attempt_kind.h"
#include "sweep/attempt_result.h"
#include "sweep/outcome.h"
#include "sweep/reason.h"

namespace clementinerill {

/// @brief All counters and histograms of a daemon.
struct DaemonMetrics {
  template <typename Enum, size_t N>
  using Counters = ReasonCounters<Enum, N>;

  MetricsRegistry registry_;
  Counters<Outcome, kOutcomeNames.size()> outcomes_ =
      registry_.AddReasonCounters("clementinerill_answers_total",
                                  "Answers to callers by outcome.",
                                  kOutcomeNames);
  Counters<Reason, kReasonNames.size()> reasons_ =
      registry_.AddReasonCounters("clementinerill_incomplete_answers_total",
                                  "Answers that are not complete by reason.",
                                  kReasonNames);
  Counters<RefusalReason, kRefusalReasonNames.size()> refusals_ =
      registry_.AddReasonCounters("clementinerill_refusals_total",
                                  "Refused queries and attempts by reason.",
                                  kRefusalReasonNames);
  Counters<AttemptKind, kAttemptKindNames.size()> attempts_ =
      registry_.AddReasonCounters("clementinerill_attempts_total",
                                  "Attempts sent to upstreams by kind.",
                                  kAttemptKindNames);
  Counters<AttemptResult, kAttemptResultNames.size()> attempt_results_ =
      registry_.AddReasonCounters("clementinerill_attempt_results_total",
                                  "Ends of attempts by result.",
                                  kAttemptResultNames);
  Counter& silent_connections_ =
      registry_.AddCounter("clementinerill_silent_connections_total",
                           "Connections condemned as silent.");
  LatencyRecorder& query_latency_ =
      registry_.AddLatencyHistogram("clementinerill_query_seconds",
                                    "Time from request to answer.");
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DAEMON_METRICS_H_

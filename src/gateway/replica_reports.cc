#include "gateway/replica_reports.h"

#include <optional>

#include "gateway/replica_report_decoder.h"
#include "logging/log.h"
#include "traffic/record_report.h"

namespace clementinerill::gateway {
namespace {

void RecordPause(SessionContext& context,
                 const traffic::ReplicaState& replica,
                 Instant previous,
                 Instant now) {
  if (replica.paused_until_ == previous) {
    return;
  }
  context.metrics_.pauses_.Increment();
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kInfo, "replicas", "pause requested",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"pause_ms", Duration(replica.paused_until_ - now)}});
}

}  // namespace

void RecordReplicaReport(SessionContext& context,
                         traffic::ReplicaState& replica,
                         const http::HttpResponse& response,
                         Instant now) {
  RecordReportedDeparture(context, replica, response, now);
  const std::optional<double> previous = replica.rate_limit_;
  const Instant paused_until = replica.paused_until_;
  traffic::RecordReport(context.fleet_, replica,
                        DecodeReplicaReport(response, context.names_), now);
  RecordPause(context, replica, paused_until, now);
  if (replica.rate_limit_ == previous) {
    return;
  }
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kInfo, "replicas",
            replica.rate_limit_ ? "rate limit named" : "rate limit ended",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"requests_per_s", replica.rate_limit_.value_or(0)},
             {"previous", previous.value_or(0)}});
}

void RecordReportedDeparture(SessionContext& context,
                             traffic::ReplicaState& replica,
                             const http::HttpResponse& response,
                             Instant now) {
  // Another process at the address says nothing about this replica.
  if (response.status_ == 421 ||
      !ReportsDeparture(response.headers_, context.names_) ||
      !traffic::RecordReportedDeparture(context.fleet_, replica, now)) {
    return;
  }
  context.metrics_.departures_.Increment();
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kInfo, "replicas", "departure reported",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"listed_as_leaving", replica.entry_.leaving_since_.has_value()},
             {"status", response.status_}});
}

void RecordCutOff(SessionContext& context,
                  const traffic::ReplicaState& replica,
                  const http::ExchangeResult& result,
                  Instant now) {
  if (result.cut_off_by_ == http::ResponseLimit::kNone) {
    return;
  }
  context.metrics_.responses_cut_off_.Increment(result.cut_off_by_);
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kWarning, "replicas", "response cut off",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"limit", NameOf(http::kResponseLimitNames, result.cut_off_by_)},
             {"buffered_bytes", replica.response_buffers_->held_bytes_}});
}

}  // namespace clementinerill::gateway

#ifndef CLEMENTINERILL_GATEWAY_GATEWAY_METRICS_H_
#define CLEMENTINERILL_GATEWAY_GATEWAY_METRICS_H_

#include "duty/outcomes.h"
#include "http/client_connection.h"
#include "http/event_loop.h"
#include "http/request_error.h"
#include "metrics/registry.h"
#include "mirror/copy_proof.h"
#include "organisations/access.h"
#include "traffic/attempt_outcome.h"
#include "traffic/forward_outcome.h"
#include "traffic/part_failure_reason.h"
#include "traffic/query_outcome.h"
#include "usage/report_sender.h"

namespace clementinerill::gateway {

/// @brief The metrics of one gateway daemon; docs/OPERATIONS.md lists them.
struct GatewayMetrics {
  GatewayMetrics()
      : queries_(registry_.AddReasonCounters("gateway_queries_total",
                                             "Queries by outcome.",
                                             traffic::kQueryOutcomeNames)),
        attempts_(registry_.AddReasonCounters("gateway_attempts_total",
                                              "Attempts by outcome.",
                                              traffic::kAttemptOutcomeNames)),
        hedges_(registry_.AddCounter("gateway_hedges_total",
                                     "Second attempts sent while the first "
                                     "one was open.")),
        retries_(registry_.AddReasonCounters(
            "gateway_retries_total",
            "Attempts sent after another one, by the outcome of that one.",
            traffic::kAttemptOutcomeNames)),
        forwards_(registry_.AddReasonCounters(
            "gateway_forwards_total",
            "Queries forwarded to aggregators, by outcome.",
            traffic::kForwardOutcomeNames)),
        gathered_for_others_(registry_.AddCounter(
            "gateway_gathered_for_others_total",
            "Queries that other daemons forwarded to this one.")),
        forwards_refused_(registry_.AddCounter(
            "gateway_forwards_refused_total",
            "Forwarded queries that this daemon refused to start.")),
        failed_parts_(registry_.AddReasonCounters(
            "gateway_failed_parts_total",
            "Parts without an answer, by why no further attempt was made.",
            traffic::kPartFailureReasonNames)),
        responses_cut_off_(registry_.AddReasonCounters(
            "gateway_responses_cut_off_total",
            "Responses of replicas and aggregators that were cut off, by the "
            "limit.",
            http::kResponseLimitNames)),
        response_buffers_(registry_.AddGauge(
            "gateway_response_buffer_bytes",
            "Bytes of responses that are received or not passed on yet.")),
        exceptions_(registry_.AddReasonCounters(
            "gateway_handler_exceptions_total",
            "Exceptions, such as a lack of memory, that ended a handler of an "
            "event loop, by the kind of handler.",
            http::kHandlerKindNames)),
        request_buffers_(registry_.AddGauge(
            "gateway_request_buffer_bytes",
            "Bytes of requests that are received or in progress.")),
        unread_responses_(registry_.AddGauge(
            "gateway_unread_response_bytes",
            "Bytes of responses that callers and other daemons have not "
            "read.")),
        unread_dropped_(registry_.AddCounter(
            "gateway_unread_responses_dropped_total",
            "Unread responses that were dropped because the memory for them "
            "was used up.")),
        closed_for_room_(registry_.AddCounter(
            "gateway_connections_closed_for_room_total",
            "Connections of callers that were closed to make room for "
            "another one.")),
        requests_refused_(registry_.AddCounter(
            "gateway_request_buffers_refused_total",
            "Times that the memory for requests was used up: requests refused "
            "or not read ahead.")),
        requests_rejected_(registry_.AddReasonCounters(
            "gateway_requests_rejected_total",
            "Requests that were rejected before they were complete or because "
            "they are not valid.",
            http::kRequestErrorNames)),
        pauses_(registry_.AddCounter(
            "gateway_pauses_requested_total",
            "Refusals with which a replica asked for a pause.")),
        departures_(registry_.AddCounter(
            "gateway_departures_reported_total",
            "Replicas that reported in a response that they are leaving.")),
        skipped_parts_(registry_.AddCounter(
            "gateway_skipped_parts_total",
            "Parts left out of sweeps because their replicas were "
            "overloaded.")),
        access_refused_(registry_.AddReasonCounters(
            "gateway_access_refused_total",
            "Requests of callers that were refused because of their API key or "
            "an old configuration.",
            organisations::kAccessRefusalNames)),
        access_lost_(registry_.AddReasonCounters(
            "gateway_access_lost_total",
            "Queries whose API key was removed, or whose configuration became "
            "too old, before their last attempt was sent.",
            organisations::kAccessRefusalNames)),
        forward_access_refused_(registry_.AddReasonCounters(
            "gateway_access_forwards_refused_total",
            "Forwarded queries that were refused because of their "
            "organisation.",
            organisations::kForwardRefusalNames)),
        unrouted_(registry_.AddCounter("gateway_unrouted_total",
                                       "Requests that match no route.")),
        unconfigured_(registry_.AddCounter(
            "gateway_unconfigured_total",
            "Requests refused before a configuration was known.")),
        refused_stopping_(registry_.AddCounter(
            "gateway_refused_stopping_total",
            "Requests refused because the daemon stops before it could answer "
            "them.")),
        store_calls_(registry_.AddCounter(
            "gateway_store_calls_total",
            "Lists and watches that were sent to the store.")),
        store_failures_(registry_.AddCounter("gateway_store_failures_total",
                                             "Failed calls of the store.")),
        duty_writes_(registry_.AddReasonCounters(
            "gateway_duty_writes_total",
            "Writes of the object of a duty, by outcome.",
            duty::kWriteOutcomeNames)),
        duty_losses_(registry_.AddReasonCounters(
            "gateway_duty_losses_total",
            "Times that this daemon stopped to hold a duty, by reason.",
            duty::kLossReasonNames)),
        duty_held_(registry_.AddGauge("gateway_duty_held",
                                      "1 while this daemon holds a duty.")),
        unusable_found_(registry_.AddCounter(
            "gateway_unusable_objects_total",
            "Objects of the store in which an error was found.")),
        unusable_(registry_.AddGauge(
            "gateway_unusable_objects",
            "Objects of the store that are not used because of an error.")),
        copy_age_(registry_.AddGauge(
            "gateway_store_copy_age_milliseconds",
            "Time since the store last confirmed the oldest copy.")),
        proofs_(registry_.AddReasonCounters(
            "gateway_access_proofs_total",
            "Responses of the store and of relays, by whether they prove that "
            "the configuration is recent.",
            mirror::kProofOutcomeNames)),
        proof_age_(registry_.AddGauge(
            "gateway_access_proof_age_milliseconds",
            "Age of the proof that the configuration is recent; -1: there is "
            "none; 0: none is required.")),
        proof_expiries_(
            registry_.AddCounter("gateway_access_proof_expiries_total",
                                 "Times that a required proof expired.")),
        version_(registry_.AddGauge("gateway_configuration_version",
                                    "Version of the configuration in force.")),
        replicas_(registry_.AddGauge("gateway_replicas", "Known replicas.")),
        usage_reported_(registry_.AddCounter(
            "gateway_usage_windows_reported_total",
            "Windows of usage that the usage API has acknowledged.")),
        usage_late_(registry_.AddCounter(
            "gateway_usage_windows_late_total",
            "Windows of usage that were acknowledged after they were due.")),
        usage_doubtful_(registry_.AddCounter(
            "gateway_usage_windows_doubtful_total",
            "Windows of usage that were fixed without the counts of all "
            "daemons.")),
        usage_missed_(registry_.AddReasonCounters(
            "gateway_usage_windows_missed_total",
            "Windows of usage that are not reported, by reason.",
            usage::kMissReasonNames)),
        usage_calls_(
            registry_.AddReasonCounters("gateway_usage_calls_total",
                                        "Calls of the usage API, by outcome.",
                                        usage::kReportOutcomeNames)),
        latency_(registry_.AddLatencyHistogram(
            "gateway_query_seconds",
            "Time from a request to its answer.")) {}

  MetricsRegistry registry_;
  ReasonCounters<traffic::QueryOutcome, 7> queries_;
  ReasonCounters<traffic::AttemptOutcome, 11> attempts_;
  Counter& hedges_;
  ReasonCounters<traffic::AttemptOutcome, 11> retries_;
  ReasonCounters<traffic::ForwardOutcome, 7> forwards_;
  Counter& gathered_for_others_;
  Counter& forwards_refused_;
  ReasonCounters<traffic::PartFailureReason, 8> failed_parts_;
  ReasonCounters<http::ResponseLimit, 3> responses_cut_off_;
  Gauge& response_buffers_;
  ReasonCounters<http::HandlerKind, 9> exceptions_;
  Gauge& request_buffers_;
  Gauge& unread_responses_;
  Counter& unread_dropped_;
  Counter& closed_for_room_;
  Counter& requests_refused_;
  ReasonCounters<http::RequestError, 7> requests_rejected_;
  Counter& pauses_;
  Counter& departures_;
  Counter& skipped_parts_;
  ReasonCounters<organisations::AccessRefusal, 4> access_refused_;
  ReasonCounters<organisations::AccessRefusal, 4> access_lost_;
  ReasonCounters<organisations::ForwardRefusal, 3> forward_access_refused_;
  Counter& unrouted_;
  Counter& unconfigured_;
  Counter& refused_stopping_;
  Counter& store_calls_;
  Counter& store_failures_;
  ReasonCounters<duty::WriteOutcome, 3> duty_writes_;
  ReasonCounters<duty::LossReason, 3> duty_losses_;
  Gauge& duty_held_;
  Counter& unusable_found_;
  Gauge& unusable_;
  Gauge& copy_age_;
  ReasonCounters<mirror::ProofOutcome, 7> proofs_;
  Gauge& proof_age_;
  Counter& proof_expiries_;
  Gauge& version_;
  Gauge& replicas_;
  Counter& usage_reported_;
  Counter& usage_late_;
  Counter& usage_doubtful_;
  ReasonCounters<usage::MissReason, 5> usage_missed_;
  ReasonCounters<usage::ReportOutcome, 3> usage_calls_;
  LatencyRecorder& latency_;
};

/// @brief Counts the exceptions that end handlers of a loop.
inline void CountExceptions(http::EventLoop& loop, GatewayMetrics& metrics) {
  loop.Guard().SetOnFailure([&metrics](http::HandlerKind kind) {
    metrics.exceptions_.Increment(kind);
  });
}

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATEWAY_METRICS_H_

#ifndef CLEMENTINERILL_GATEWAY_GATEWAY_METRICS_H_
#define CLEMENTINERILL_GATEWAY_GATEWAY_METRICS_H_

#include "http/client_connection.h"
#include "http/request_error.h"
#include "metrics/registry.h"
#include "traffic/attempt_outcome.h"
#include "traffic/forward_outcome.h"
#include "traffic/part_failure_reason.h"
#include "traffic/query_outcome.h"

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
        unusable_found_(registry_.AddCounter(
            "gateway_unusable_objects_total",
            "Objects of the store in which an error was found.")),
        unusable_(registry_.AddGauge(
            "gateway_unusable_objects",
            "Objects of the store that are not used because of an error.")),
        copy_age_(registry_.AddGauge(
            "gateway_store_copy_age_milliseconds",
            "Time since the store last confirmed the oldest copy.")),
        version_(registry_.AddGauge("gateway_configuration_version",
                                    "Version of the configuration in force.")),
        replicas_(registry_.AddGauge("gateway_replicas", "Known replicas.")),
        latency_(registry_.AddLatencyHistogram(
            "gateway_query_seconds",
            "Time from a request to its answer.")) {}

  MetricsRegistry registry_;
  ReasonCounters<traffic::QueryOutcome, 7> queries_;
  ReasonCounters<traffic::AttemptOutcome, 9> attempts_;
  Counter& hedges_;
  ReasonCounters<traffic::AttemptOutcome, 9> retries_;
  ReasonCounters<traffic::ForwardOutcome, 7> forwards_;
  Counter& gathered_for_others_;
  Counter& forwards_refused_;
  ReasonCounters<traffic::PartFailureReason, 7> failed_parts_;
  ReasonCounters<http::ResponseLimit, 3> responses_cut_off_;
  Gauge& response_buffers_;
  Gauge& request_buffers_;
  Gauge& unread_responses_;
  Counter& unread_dropped_;
  Counter& closed_for_room_;
  Counter& requests_refused_;
  ReasonCounters<http::RequestError, 7> requests_rejected_;
  Counter& pauses_;
  Counter& departures_;
  Counter& skipped_parts_;
  Counter& unrouted_;
  Counter& unconfigured_;
  Counter& refused_stopping_;
  Counter& store_calls_;
  Counter& store_failures_;
  Counter& unusable_found_;
  Gauge& unusable_;
  Gauge& copy_age_;
  Gauge& version_;
  Gauge& replicas_;
  LatencyRecorder& latency_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATEWAY_METRICS_H_

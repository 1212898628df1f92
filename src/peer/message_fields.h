#ifndef CLEMENTINERILL_PEER_MESSAGE_FIELDS_H_
#define CLEMENTINERILL_PEER_MESSAGE_FIELDS_H_

#include <type_traits>

#include "peer/message.h"

namespace clementinerill {

// `VisitFields` visits the fields of a struct in wire order. `FieldReader` and
// `FieldWriter` share it. `Struct` is the struct type, possibly const.

template <typename T, typename Struct>
using EnableFor =
    std::enable_if_t<std::is_same_v<std::remove_const_t<Struct>, T>>;

template <typename S, typename Visitor, EnableFor<Hello, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("name", value.name_);
  visit("address", value.address_);
  visit("port", value.port_);
  visit("incarnation", value.incarnation_);
}

template <typename S, typename Visitor, EnableFor<Heartbeat, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("group", value.group_);
  visit("incarnation", value.incarnation_);
  visit("sent_ms", value.sent_ms_);
  visit("echo_incarnation", value.echo_incarnation_);
  visit("echo_sent_ms", value.echo_sent_ms_);
  visit("has_echo", value.has_echo_);
  visit("hears", value.hears_);
  visit("grants", value.grants_);
  visit("config_version", value.config_version_);
  visit("advisory_digest", value.advisory_digest_);
  visit("witness", value.witness_);
  visit("leaving", value.leaving_);
  visit("ready", value.ready_);
}

template <typename S, typename Visitor, EnableFor<Advisory, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("kind", value.kind_);
  visit("subject", value.subject_);
  visit("generation", value.generation_);
  visit("active", value.active_);
  visit("origin", value.origin_);
}

template <typename S, typename Visitor, EnableFor<Advisories, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("entries", value.entries_);
}

template <typename S, typename Visitor, EnableFor<ConfigRequest, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("after_version", value.after_version_);
}

template <typename S, typename Visitor, EnableFor<ConfigDocument, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("version", value.version_);
  visit("text", value.text_);
}

template <typename S, typename Visitor, EnableFor<Forward, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("id", value.id_);
  visit("request_id", value.request_id_);
  visit("route", value.route_);
  visit("body", value.body_);
  visit("idempotency_key", value.idempotency_key_);
  visit("deadline_ms", value.deadline_ms_);
  visit("hops", value.hops_);
}

template <typename S, typename Visitor, EnableFor<ForwardAnswer, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("id", value.id_);
  visit("status", value.status_);
  visit("body", value.body_);
  visit("not_run", value.not_run_);
}

template <typename S, typename Visitor, EnableFor<ForwardCancel, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("id", value.id_);
}

template <typename S, typename Visitor, EnableFor<ReportEntry, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("route", value.route_);
  visit("version", value.version_);
  visit("requests", value.requests_);
  visit("errors", value.errors_);
  visit("latency_counts", value.latency_counts_);
}

template <typename S, typename Visitor, EnableFor<Report, S>* = nullptr>
void VisitFields(S& value, Visitor& visit) {
  visit("pool", value.pool_);
  visit("sequence", value.sequence_);
  visit("period_ms", value.period_ms_);
  visit("entries", value.entries_);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_MESSAGE_FIELDS_H_

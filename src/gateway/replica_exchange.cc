#include "gateway/replica_exchange.h"

#include <algorithm>
#include <string>

#include "base/parse_number.h"
#include "gateway/caller_response.h"

namespace clementinerill::gateway {

using http::ExchangeOutcome;
using traffic::AttemptOutcome;

namespace {

// Cap of the idle timeout that a replica names; longer ones would overflow when
// added to a time.
constexpr std::chrono::seconds kMaxKeepAlive = std::chrono::hours(1);

}  // namespace

std::optional<Duration> ParseKeepAlive(std::string_view text) {
  constexpr std::string_view kKey = "timeout=";
  const size_t at = text.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(at + kKey.size());
  const auto seconds = ParseNumberUpTo(
      text.substr(0, text.find_first_of(", ;")), kMaxKeepAlive.count());
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

std::string MakeReplicaRequest(const http::HttpRequest& caller_request,
                               const traffic::Query& query,
                               const traffic::ReplicaEntry& replica,
                               const WireNames& names,
                               Instant now) {
  http::HttpRequest request;
  request.method_ = caller_request.method_;
  request.target_ = caller_request.target_;
  request.body_ = caller_request.body_;
  for (const auto& header : caller_request.headers_) {
    if (!http::IsSameHeaderName(header.first, names.timeout_) &&
        !http::IsSameHeaderName(header.first, names.expected_replica_)) {
      request.headers_.push_back(header);
    }
  }
  if (!query.organisation_.empty()) {
    request.headers_.emplace_back(names.organisation_, query.organisation_);
  }
  const auto left =
      std::max<int64_t>(1, ToMilliseconds(traffic::RemainingTime(query, now)));
  request.headers_.emplace_back(names.timeout_, std::to_string(left));
  request.headers_.emplace_back(names.expected_replica_, replica.id_);
  return http::ToBytes(request);
}

http::ExchangeRequest MakeReplicaExchange(
    const http::HttpRequest& caller_request,
    const traffic::Query& query,
    const WireNames& names) {
  http::ExchangeRequest exchange;
  exchange.is_head_ = caller_request.method_ == "HEAD";
  exchange.is_matching_response_ =
      [id = query.id_, name = names.request_id_](const http::HttpResponse& a) {
        const auto echoed = http::FindHeader(a.headers_, name);
        return echoed.empty() || echoed == id;
      };
  return exchange;
}

AttemptOutcome ClassifyExchange(const http::ExchangeResult& result,
                                const traffic::RouteRule& route,
                                const WireNames& names) {
  switch (result.outcome_) {
    case ExchangeOutcome::kNotSent:
      return AttemptOutcome::kNotSent;
    case ExchangeOutcome::kBroken:
      return AttemptOutcome::kBroken;
    case ExchangeOutcome::kGarbled:
      return AttemptOutcome::kGarbled;
    case ExchangeOutcome::kWithdrawn:
      return AttemptOutcome::kWithdrawn;
    case ExchangeOutcome::kResponse:
      break;
  }
  const http::HttpResponse& response = result.response_;
  if (response.status_ == 421) {
    return AttemptOutcome::kMisdirected;
  }
  if (!http::FindHeader(response.headers_, names.not_executed_).empty()) {
    return AttemptOutcome::kShed;
  }
  const bool success = response.status_ < 300;
  if (success &&
      http::FindHeader(response.headers_, names.signature_).empty()) {
    return AttemptOutcome::kGarbled;
  }
  // Without the header, such a status would be an untrue guarantee.
  if (response.status_ >= 500 || ImpliesNotExecuted(response.status_) ||
      (IsFanOut(route) && !success)) {
    return AttemptOutcome::kFailed;
  }
  return AttemptOutcome::kAnswered;
}

}  // namespace clementinerill::gateway

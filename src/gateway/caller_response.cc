#include "gateway/caller_response.h"

#include <algorithm>
#include <cstdio>
#include <string_view>
#include <vector>

#include "base/hash.h"
#include "traffic/merge_records.h"

namespace clementinerill::gateway {
namespace {

using traffic::Query;
using traffic::QueryOutcome;
using traffic::QueryPart;
using traffic::ReplicaResponse;

// Share of the caller's remaining time that `Retry-After` asks it to wait.
// Callers honour at most a third of it; a tenth leaves time to serve the retry.
constexpr double kRetryAfterShare = 0.1;
// Bounds of `Retry-After`. A shorter delay sends the retry into the same
// overload, a longer one misses the latency objective.
constexpr double kMinRetryAfterS = 0.02;
constexpr double kMaxRetryAfterS = 0.3;
// `Retry-After` while the configuration is too old. A proof that it is recent
// is due several times in that bound, and other daemons may have one.
constexpr double kOldViewRetryAfterS = 0.25;

http::HttpResponse FanOutResponse(const Query& query, const WireNames& names) {
  std::vector<std::string_view> bodies;
  std::string signatures;
  const auto add = [&](const std::string& body, const std::string& signature) {
    bodies.push_back(body);
    signatures.append(signatures.empty() || signature.empty() ? "" : ", ");
    signatures.append(signature);
  };
  for (const QueryPart& part : query.parts_) {
    if (part.state_ == traffic::PartState::kAnswered && !part.is_delegated_) {
      add(part.response_.body_, part.response_.signature_);
    }
  }
  for (const traffic::Delegation& delegation : query.delegations_) {
    if (delegation.state_ == traffic::DelegationState::kAnswered) {
      add(delegation.body_, delegation.signatures_);
    }
  }
  const size_t missing =
      query.parts_.size() -
      traffic::CountParts(query, traffic::PartState::kAnswered);
  http::HttpResponse response;
  response.status_ = 200;
  response.headers_.emplace_back(names.part_signatures_, std::move(signatures));
  response.headers_.emplace_back(names.missing_parts_, std::to_string(missing));
  response.body_ = traffic::MergeRecords(
      bodies, static_cast<size_t>(std::max(query.route_->record_limit_, 0)));
  return response;
}

http::HttpResponse ForwardResponse(const ReplicaResponse& replica) {
  http::HttpResponse response;
  response.status_ = replica.status_;
  response.headers_ = replica.headers_;
  response.body_ = replica.body_;
  return response;
}

http::HttpResponse FailureResponse(const Query& query) {
  const ReplicaResponse& failure = query.parts_.front().failed_response_;
  if (!IsFanOut(*query.route_) && failure.status_ != 0 &&
      !ImpliesNotExecuted(failure.status_)) {
    return ForwardResponse(failure);
  }
  http::HttpResponse response;
  response.status_ = 502;
  return response;
}

double RetryAfterSeconds(const Query& query, Instant now) {
  const double remaining =
      std::chrono::duration<double>(query.deadline_ - now).count();
  // Jitter derived from the request id, so that callers that were refused
  // together do not retry together.
  const double spread =
      0.5 + static_cast<double>(Hash64(query.id_) % 1000) / 1000.0;
  return std::clamp(remaining * kRetryAfterShare * spread, kMinRetryAfterS,
                    kMaxRetryAfterS);
}

// An aggregator does not know the key, so it makes no statement on it: the
// daemon that does gathers the query itself, or its caller repeats it.
http::HttpResponse AccessLostResponse(const Query& query,
                                      const WireNames& names) {
  return AccessRefusalResponse(query.is_forwarded_
                                   ? organisations::AccessRefusal::kViewTooOld
                                   : *query.access_refusal_,
                               names);
}

}  // namespace

http::HttpResponse AccessRefusalResponse(organisations::AccessRefusal refusal,
                                         const WireNames& names) {
  const int status = organisations::StatusOf(refusal);
  if (status == 503) {
    return RefusalResponse(kOldViewRetryAfterS);
  }
  http::HttpResponse response;
  response.status_ = status;
  // Required by RFC 9110, section 15.5.2.
  response.headers_.emplace_back("WWW-Authenticate", names.api_key_);
  return response;
}

bool ImpliesNotExecuted(int status) noexcept {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

http::HttpResponse RefusalResponse(double retry_after_s) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", retry_after_s);
  http::HttpResponse response;
  response.status_ = 503;
  response.headers_.emplace_back("Retry-After", text.data());
  return response;
}

http::HttpResponse MakeCallerResponse(const Query& query,
                                      const WireNames& names,
                                      Instant now) {
  switch (query.outcome_) {
    case QueryOutcome::kComplete:
    case QueryOutcome::kPartial:
      return IsFanOut(*query.route_)
                 ? FanOutResponse(query, names)
                 : ForwardResponse(query.parts_.front().response_);
    case QueryOutcome::kRefused:
      if (query.access_refusal_) {
        return AccessLostResponse(query, names);
      }
      return RefusalResponse(RetryAfterSeconds(query, now));
    case QueryOutcome::kTimedOut: {
      http::HttpResponse response;
      response.status_ = 504;
      return response;
    }
    case QueryOutcome::kFailed:
    case QueryOutcome::kOpen:
    case QueryOutcome::kDisconnected:
      break;
  }
  return FailureResponse(query);
}

}  // namespace clementinerill::gateway

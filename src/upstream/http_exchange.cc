#include "upstream/http_exchange.h"

#include <algorithm>
#include <istream>
#include <iterator>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

#include "base/parse_number.h"
#include "base/response_status.h"

namespace clementinerill {
namespace {

using nlohmann::json;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// The upstream stops work at the deadline it was given. Its timeout response
// may arrive up to this much later.
constexpr auto kResponseGracePeriod = std::chrono::milliseconds(50);
constexpr int kStatusCancelled = 499;
// Limit of interim responses before the final one.
constexpr int kMaxInterimResponses = 16;

Poco::Timespan ToTimespan(Duration duration) {
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return Poco::Timespan(std::max<Poco::Timespan::TimeDiff>(microseconds, 1000));
}

void SetSocketTimeout(UpstreamSession& session, Duration timeout) {
  session.socket().setSendTimeout(ToTimespan(timeout));
  session.socket().setReceiveTimeout(ToTimespan(timeout));
}

HTTPRequest MakeHttpRequest(const ExchangeRequest& request, Instant now) {
  HTTPRequest http(HTTPRequest::HTTP_POST, request.path_,
                   HTTPRequest::HTTP_1_1);
  const int64_t remaining_ms =
      std::max<int64_t>(1, ToMilliseconds(request.deadline_ - now));
  http.setHost("upstream");
  http.setContentType("application/json");
  http.setContentLength64(static_cast<Poco::Int64>(request.body_.size()));
  http.set("X-Request-Id", request.request_id_);
  http.set("X-Attempt", request.attempt_id_);
  http.set("X-Deadline-Ms", std::to_string(remaining_ms));
  if (!request.idempotency_key_.empty()) {
    http.set("Idempotency-Key", request.idempotency_key_);
  }
  if (request.snapshot_) {
    http.set("X-Index-Version",
             std::to_string(request.snapshot_->index_version_));
    http.set("X-Partition-Map",
             std::to_string(request.snapshot_->partition_map_));
  }
  return http;
}

std::optional<int> ParseCountHeader(const HTTPResponse& response,
                                    const std::string& header) {
  constexpr uint64_t kMaxCount = 1'000'000;
  const auto number = ParseNumber(response.get(header, ""));
  if (!number || *number > kMaxCount) {
    return std::nullopt;
  }
  return static_cast<int>(*number);
}

UpstreamSignals ParseSignals(const HTTPResponse& response) {
  UpstreamSignals signals;
  signals.process_id_ = response.get("X-Process-Id", "");
  signals.load_ = ParseCountHeader(response, "X-Load");
  signals.cold_limit_ = ParseCountHeader(response, "X-Cold");
  if (response.has("X-Offers")) {
    signals.offers_ = ParseOffers(response.get("X-Offers"));
  }
  return signals;
}

std::optional<Snapshot> ParseSnapshot(const HTTPResponse& response) {
  const auto index_version = ParseNumber(response.get("X-Index-Version", ""));
  const auto partition_map = ParseNumber(response.get("X-Partition-Map", ""));
  if (!index_version || !partition_map) {
    return std::nullopt;
  }
  return Snapshot{*index_version, *partition_map};
}

std::optional<std::vector<Hit>> ParseHits(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("hits") ||
      !document["hits"].is_array()) {
    return std::nullopt;
  }
  std::vector<Hit> hits;
  for (const json& hit : document["hits"]) {
    const bool well_formed = hit.is_object() && hit.contains("id") &&
                             hit["id"].is_string() && hit.contains("score") &&
                             hit["score"].is_number_unsigned();
    if (!well_formed) {
      return std::nullopt;
    }
    hits.push_back(Hit{hit["id"], hit["score"]});
  }
  return hits;
}

std::optional<PartAnswer> ParsePartAnswer(const ExchangeRequest& request,
                                          const HTTPResponse& response,
                                          std::string body) {
  const auto snapshot = ParseSnapshot(response);
  if (!snapshot) {
    return std::nullopt;
  }
  PartAnswer answer;
  answer.snapshot_ = *snapshot;
  if (!request.fans_out_) {
    if (!json::accept(body)) {
      return std::nullopt;
    }
    answer.body_ = std::move(body);
    return answer;
  }
  answer.range_ = ParseKeyRange(response.get("X-Range", ""));
  auto hits = ParseHits(body);
  if (!answer.range_ || !hits) {
    return std::nullopt;
  }
  answer.hits_ = std::move(*hits);
  return answer;
}

AttemptResult ResultFromStatus(const HTTPResponse& response) {
  const bool not_run = response.get("X-Not-Run", "") == "1";
  switch (static_cast<int>(response.getStatus())) {
    case HTTPResponse::HTTP_OK:
      return AttemptResult::kAnswered;
    case HTTPResponse::HTTP_CONFLICT:
      return not_run ? AttemptResult::kSnapshotGone
                     : AttemptResult::kUpstreamError;
    case HTTPResponse::HTTP_SERVICE_UNAVAILABLE:
      return not_run ? AttemptResult::kShed : AttemptResult::kUpstreamError;
    case kStatusCancelled:
      return AttemptResult::kCancelled;
    case HTTPResponse::HTTP_GATEWAY_TIMEOUT:
      return AttemptResult::kTimedOut;
    default:
      return AttemptResult::kUpstreamError;
  }
}

std::string ReadBody(std::istream& stream) {
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

// Returns the stream of the body, or null if a status is malformed. The HTTP
// client of POCO skips interim responses only if their status is 100.
std::istream* ReceiveFinalResponse(UpstreamSession& session,
                                   HTTPResponse& response) {
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    std::istream& stream = session.receiveResponse(response);
    const int status = static_cast<int>(response.getStatus());
    if (!IsPossibleStatus(status)) {
      return nullptr;
    }
    if (!IsInterimStatus(status)) {
      return &stream;
    }
  }
  return nullptr;
}

ExchangeResult ExchangeOrThrow(UpstreamSession& session,
                               const ExchangeRequest& request,
                               Instant now) {
  HTTPRequest http = MakeHttpRequest(request, now);
  std::ostream& output = session.sendRequest(http);
  output << request.body_ << std::flush;
  HTTPResponse response;
  ExchangeResult result;
  std::istream* const stream = ReceiveFinalResponse(session, response);
  if (stream == nullptr) {
    result.result_ = AttemptResult::kMalformed;
    return result;
  }
  std::string body = ReadBody(*stream);
  const auto length = response.getContentLength64();
  if (length >= 0 && length != static_cast<Poco::Int64>(body.size())) {
    throw Poco::IOException("response body length differs from Content-Length");
  }
  result.result_ = ResultFromStatus(response);
  result.signals_ = ParseSignals(response);
  if (result.result_ == AttemptResult::kAnswered) {
    result.answer_ = ParsePartAnswer(request, response, std::move(body));
    if (!result.answer_) {
      result.result_ = AttemptResult::kMalformed;
    }
  }
  return result;
}

AttemptResult ResultFromFailure(const UpstreamSession& session,
                                bool timed_out) noexcept {
  if (!session.HasWritten()) {
    return AttemptResult::kNotSent;
  }
  return timed_out ? AttemptResult::kTimedOut : AttemptResult::kBroken;
}

}  // namespace

ExchangeResult RunExchange(UpstreamSession& session,
                           const ExchangeRequest& request,
                           Instant now) {
  ExchangeResult failed;
  session.BeginExchange(request.deadline_ + kResponseGracePeriod);
  try {
    SetSocketTimeout(session, request.deadline_ - now + kResponseGracePeriod);
    return ExchangeOrThrow(session, request, now);
  } catch (const Poco::TimeoutException&) {
    failed.result_ = ResultFromFailure(session, /*timed_out=*/true);
  } catch (const std::exception&) {
    failed.result_ = ResultFromFailure(session, /*timed_out=*/false);
  }
  return failed;
}

bool IsWholeAnswer(const ExchangeResult& result) noexcept {
  return result.signals_.has_value();
}

Result<UpstreamSignals> RunControlExchange(UpstreamSession& session,
                                           const std::string& method,
                                           const std::string& path,
                                           Duration timeout) {
  session.BeginExchange(std::chrono::steady_clock::now() + timeout);
  try {
    SetSocketTimeout(session, timeout);
    HTTPRequest http(method, path, HTTPRequest::HTTP_1_1);
    http.setHost("upstream");
    http.setContentLength(0);
    session.sendRequest(http).flush();
    HTTPResponse response;
    std::istream* const stream = ReceiveFinalResponse(session, response);
    if (stream == nullptr) {
      return Fail("the upstream responded with a malformed HTTP status");
    }
    ReadBody(*stream);
    if (response.getStatus() != HTTPResponse::HTTP_OK) {
      return Fail("the upstream responded with HTTP status " +
                  std::to_string(static_cast<int>(response.getStatus())));
    }
    return ParseSignals(response);
  } catch (const std::exception& exception) {
    return Fail(exception.what());
  }
}

}  // namespace clementinerill

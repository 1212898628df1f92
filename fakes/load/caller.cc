#include "fakes/load/caller.h"

#include <iterator>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

#include "fakes/load/answer_check.h"

namespace clementinerill {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr int kTimeoutMarginMs = 2000;

std::chrono::nanoseconds Seconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

Caller::Caller(const LoadOptions& options,
               LoadSchedule& schedule,
               size_t number)
    : options_(options), schedule_(schedule), number_(number) {}

LoadResult Caller::Run() {
  while (true) {
    const uint64_t number = schedule_.next_++;
    if (options_.count_ > 0 && number >= options_.count_) {
      break;
    }
    if (options_.rate_ > 0) {
      std::this_thread::sleep_until(
          schedule_.begin_ +
          Seconds(static_cast<double>(number) / options_.rate_));
    }
    if (steady_clock::now() >= schedule_.end_) {
      break;
    }
    SendOne(number);
  }
  return std::move(result_);
}

void Caller::SendOne(uint64_t number) {
  const std::string query = options_.prefix_ + "-" + std::to_string(number);
  const auto started = steady_clock::now();
  ++result_.sent_;
  std::string text;
  try {
    text = SendRequest(query);
  } catch (const std::exception&) {
    session_.reset();
    ++result_.unanswered_;
    Record(query, "unanswered", 0);
    return;
  }
  const double latency_ms =
      std::chrono::duration<double, std::milli>(steady_clock::now() - started)
          .count();
  EvaluateResponse(text, query, latency_ms);
}

std::string Caller::SendRequest(const std::string& query) {
  if (!session_) {
    const size_t target =
        (number_ + result_.unanswered_) % options_.ports_.size();
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(
        "127.0.0.1", options_.ports_[target]);
    session_->setKeepAlive(true);
    session_->setTimeout(
        Poco::Timespan((options_.deadline_ms_ + kTimeoutMarginMs) * 1000LL));
  }
  const std::string path =
      options_.direct_ ? "/query" : "/v1/" + options_.route_;
  Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
  const std::string body = json({{"query", query}}).dump();
  request.setContentLength(static_cast<int>(body.size()));
  request.setKeepAlive(true);
  request.set("X-Request-Id", query);
  request.set("X-Attempt", query);
  request.set("X-Deadline-Ms", std::to_string(options_.deadline_ms_));
  session_->sendRequest(request) << body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& stream = session_->receiveResponse(response);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (response.getContentLength64() != static_cast<Poco::Int64>(text.size())) {
    throw Poco::IOException("response body length differs from Content-Length");
  }
  return text;
}

void Caller::EvaluateResponse(const std::string& text,
                              const std::string& query,
                              double latency_ms) {
  const json answer = json::parse(text, nullptr, false);
  if (!answer.is_object()) {
    ++result_.unanswered_;
    return;
  }
  if (options_.direct_) {
    const bool answered = answer.contains("hits");
    Record(query, answered ? "answered" : "refused", latency_ms);
    return;
  }
  const std::string outcome = answer.value("outcome", "none");
  ++result_.outcomes_[outcome];
  ++result_.reasons_[answer.value("reason", "none")];
  Record(query, outcome, latency_ms);
  if (answer.value("request_id", "") != query) {
    ++result_.misrouted_;
  }
  if (outcome == "complete") {
    result_.latencies_ms_.push_back(latency_ms);
    result_.in_time_ += latency_ms <= options_.deadline_ms_ ? 1 : 0;
  }
  const bool has_hits = outcome == "complete" || outcome == "partial";
  constexpr size_t kTop = 10;
  if (options_.verify_ && has_hits && !IsCorrectAnswer(answer, query, kTop)) {
    ++result_.wrong_;
  }
}

void Caller::Record(const std::string& query,
                    const std::string& outcome,
                    double latency_ms) {
  if (!options_.record_.empty()) {
    result_.records_.push_back(query + " " + outcome + " " +
                               std::to_string(latency_ms));
  }
}

}  // namespace clementinerill

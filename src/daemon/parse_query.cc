#include "daemon/parse_query.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/parse_number.h"

namespace clementinerill {
namespace {

using nlohmann::json;

constexpr size_t kMaxIdLength = 128;

// Restricts ids to characters that are safe in headers, paths and logs.
bool IsSafeId(const std::string& id) noexcept {
  return id.size() <= kMaxIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::optional<Duration> ReadDeadline(const std::string& text,
                                     const Route& route) {
  if (text.empty()) {
    return route.default_deadline_;
  }
  const auto milliseconds = ParseNumber(text);
  const auto longest = static_cast<uint64_t>(route.longest_deadline_.count());
  if (!milliseconds || *milliseconds == 0 || *milliseconds > longest) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(*milliseconds);
}

// Parses `query` and `top` into `request`; returns false when the body is
// malformed.
bool ReadBody(const std::string& body, QueryRequest& request) {
  constexpr int64_t kMaxTop = 10'000;
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("query") ||
      !document["query"].is_string()) {
    return false;
  }
  request.query_ = document["query"].get<std::string>();
  const json top = document.value("top", json(request.top_));
  if (!top.is_number_integer() || top < 1 || top > kMaxTop) {
    return false;
  }
  request.top_ = top.get<size_t>();
  return true;
}

}  // namespace

tl::expected<QueryRequest, QueryAnswer> ParseQuery(
    const QueryInput& input,
    const RoutingTable& table,
    const std::string& generated_id,
    Instant now) {
  QueryRequest request;
  const bool usable_id = IsSafeId(input.request_id_);
  request.request_id_ = input.request_id_.empty() || !usable_id
                            ? generated_id
                            : input.request_id_;
  const auto refuse = [&request](Reason reason) {
    return tl::make_unexpected(RefusedAnswer(request.request_id_, reason));
  };
  const auto route = table.routes_.find(input.route_);
  if (route == table.routes_.end()) {
    return refuse(Reason::kUnknownRoute);
  }
  request.route_ = route->second;
  request.top_ = static_cast<size_t>(request.route_.top_);
  const auto deadline = ReadDeadline(input.deadline_ms_, request.route_);
  if (!deadline) {
    return refuse(Reason::kInvalidDeadline);
  }
  request.deadline_ = now + *deadline;
  if (!usable_id || !IsSafeId(input.idempotency_key_) ||
      !ReadBody(input.body_, request)) {
    return refuse(Reason::kMalformedRequest);
  }
  request.idempotency_key_ = input.idempotency_key_;
  return request;
}

}  // namespace clementinerill

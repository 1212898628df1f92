#include "explain/explain_json.h"

#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

int64_t Microseconds(Duration duration) noexcept {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

json ToJson(const ExplainedAttempt& attempt) {
  json object = {{"replica", attempt.replica_},
                 {"start_us", Microseconds(attempt.start_offset_)},
                 {"duration_us", nullptr},
                 {"result", attempt.result_},
                 {"trigger", attempt.trigger_},
                 {"reason", attempt.reason_}};
  if (attempt.duration_) {
    object["duration_us"] = Microseconds(*attempt.duration_);
  }
  return object;
}

json ToJson(const ExplainedPart& part) {
  json attempts = json::array();
  for (const ExplainedAttempt& attempt : part.attempts_) {
    attempts.push_back(ToJson(attempt));
  }
  return {{"service", part.service_}, {"attempts", std::move(attempts)}};
}

json ToJson(const ExplainedQuery& query, Instant now, ExplainDetail detail) {
  json object = {{"request_id", query.request_id_},
                 {"route", query.route_},
                 {"age_us", Microseconds(now - query.received_)},
                 {"duration_us", Microseconds(query.duration_)},
                 {"outcome", query.outcome_},
                 {"reason", query.reason_},
                 {"coverage", query.coverage_}};
  if (detail == ExplainDetail::kSummary) {
    return object;
  }
  json parts = json::array();
  for (const ExplainedPart& part : query.parts_) {
    parts.push_back(ToJson(part));
  }
  object["parts"] = std::move(parts);
  object["parts_omitted"] = query.parts_omitted_;
  return object;
}

}  // namespace

std::string ToJsonText(const std::vector<const ExplainedQuery*>& queries,
                       Instant now,
                       ExplainDetail detail) {
  json array = json::array();
  for (const ExplainedQuery* query : queries) {
    array.push_back(ToJson(*query, now, detail));
  }
  return array.dump(kIndent, ' ', /*ensure_ascii=*/false,
                    json::error_handler_t::replace);
}

}  // namespace clementinerill

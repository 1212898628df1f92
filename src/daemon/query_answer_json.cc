#include "daemon/query_answer_json.h"

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

using nlohmann::json;

json ToJson(const std::vector<KeyRange>& ranges) {
  json array = json::array();
  for (const KeyRange& range : ranges) {
    array.push_back(Format(range));
  }
  return array;
}

json ToJson(const std::vector<Hit>& hits) {
  json array = json::array();
  for (const Hit& hit : hits) {
    array.push_back({{"id", hit.id_}, {"score", hit.score_}});
  }
  return array;
}

}  // namespace

std::string ToJsonText(const QueryAnswer& answer) {
  json document = {{"request_id", answer.request_id_},
                   {"outcome", NameOf(kOutcomeNames, answer.outcome_)},
                   {"reason", NameOf(kReasonNames, answer.reason_)},
                   {"coverage", answer.coverage_},
                   {"missing", ToJson(answer.missing_)},
                   {"hits", ToJson(answer.hits_)}};
  if (answer.outcome_ == Outcome::kRefused) {
    document["not_run"] = true;
  }
  if (answer.snapshot_) {
    document["index_version"] = answer.snapshot_->index_version_;
    document["partition_map"] = answer.snapshot_->partition_map_;
  }
  if (!answer.body_.empty()) {
    document["answer"] = json::parse(answer.body_, nullptr, false);
  }
  return document.dump();
}

std::optional<QueryAnswer> ParseQueryAnswer(const std::string& text) {
  try {
    const json document = json::parse(text);
    const auto outcome =
        ValueOf(kOutcomeNames, document.at("outcome").get<std::string>());
    const auto reason =
        ValueOf(kReasonNames, document.at("reason").get<std::string>());
    if (!outcome || !reason) {
      return std::nullopt;
    }
    QueryAnswer answer;
    answer.request_id_ = document.at("request_id");
    answer.outcome_ = *outcome;
    answer.reason_ = *reason;
    answer.coverage_ = document.at("coverage");
    for (const json& range : document.at("missing")) {
      const auto parsed = ParseKeyRange(range.get<std::string>());
      if (!parsed) {
        return std::nullopt;
      }
      answer.missing_.push_back(*parsed);
    }
    for (const json& hit : document.at("hits")) {
      answer.hits_.push_back(Hit{hit.at("id"), hit.at("score")});
    }
    if (document.contains("index_version")) {
      answer.snapshot_ =
          Snapshot{document.at("index_version"), document.at("partition_map")};
    }
    if (document.contains("answer")) {
      answer.body_ = document.at("answer").dump();
    }
    return answer;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

int HttpStatusOf(const QueryAnswer& answer) noexcept {
  constexpr int kOk = 200;
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kTooLarge = 413;
  constexpr int kConflict = 409;
  constexpr int kUnavailable = 503;
  constexpr int kTimeout = 504;
  if (answer.outcome_ == Outcome::kComplete ||
      answer.outcome_ == Outcome::kPartial) {
    return kOk;
  }
  if (answer.outcome_ == Outcome::kUnknown) {
    return kTimeout;
  }
  switch (answer.reason_) {
    case Reason::kUnknownRoute:
      return kNotFound;
    case Reason::kMalformedRequest:
    case Reason::kInvalidDeadline:
      return kBadRequest;
    case Reason::kRequestTooLarge:
      return kTooLarge;
    case Reason::kKeyReused:
      return kConflict;
    default:
      return kUnavailable;
  }
}

}  // namespace clementinerill

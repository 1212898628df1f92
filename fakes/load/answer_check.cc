#include "fakes/load/answer_check.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "fakes/index/generated_index.h"

namespace clementinerill {
namespace {

using nlohmann::json;

const std::vector<Document>& AllDocuments() {
  static const std::vector<Document> documents =
      DocumentsInRange(KeyRange{0, kKeySpaceEnd});
  return documents;
}

bool AnyContains(const std::vector<KeyRange>& ranges, uint64_t key) noexcept {
  return std::any_of(ranges.begin(), ranges.end(),
                     [key](const KeyRange& range) {
                       return key >= range.begin_ && key < range.end_;
                     });
}

bool IsCoverageConsistent(const json& answer,
                          const std::vector<KeyRange>& missing) {
  constexpr double kTolerance = 2e-6;
  uint64_t missing_keys = 0;
  for (const KeyRange& range : missing) {
    missing_keys += range.end_ - range.begin_;
  }
  const double expected =
      1 - static_cast<double>(missing_keys) / static_cast<double>(kKeySpaceEnd);
  const double coverage = answer.value("coverage", -1.0);
  const bool complete = answer.value("outcome", "") == "complete";
  return std::abs(coverage - expected) < kTolerance &&
         complete == missing.empty();
}

}  // namespace

bool IsCorrectAnswer(const json& answer, const std::string& query, size_t top) {
  std::vector<KeyRange> missing;
  for (const json& text : answer.value("missing", json::array())) {
    const auto range = ParseKeyRange(text.get<std::string>());
    if (!range) {
      return false;
    }
    missing.push_back(*range);
  }
  std::vector<Document> covered;
  for (const Document& document : AllDocuments()) {
    if (!AnyContains(missing, document.key_)) {
      covered.push_back(document);
    }
  }
  const auto expected = SearchDocuments(
      covered, answer.value("index_version", uint64_t{0}), query, top);
  std::vector<Hit> hits;
  for (const json& hit : answer.value("hits", json::array())) {
    hits.push_back(Hit{hit.value("id", ""), hit.value("score", uint64_t{0})});
  }
  return hits == expected && IsCoverageConsistent(answer, missing);
}

}  // namespace clementinerill

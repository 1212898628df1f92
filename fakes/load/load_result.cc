#include "fakes/load/load_result.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace clementinerill {
namespace {

double Quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::lround(last * q))];
}

template <typename T>
void Append(std::vector<T>& to, std::vector<T> from) {
  to.insert(to.end(), std::make_move_iterator(from.begin()),
            std::make_move_iterator(from.end()));
}

}  // namespace

void Merge(LoadResult& total, LoadResult other) {
  for (const auto& [name, count] : other.outcomes_) {
    total.outcomes_[name] += count;
  }
  for (const auto& [name, count] : other.reasons_) {
    total.reasons_[name] += count;
  }
  total.sent_ += other.sent_;
  total.unanswered_ += other.unanswered_;
  total.wrong_ += other.wrong_;
  total.misrouted_ += other.misrouted_;
  total.in_time_ += other.in_time_;
  Append(total.latencies_ms_, std::move(other.latencies_ms_));
  Append(total.records_, std::move(other.records_));
}

std::string ToJsonText(LoadResult& result, double seconds) {
  auto& latencies = result.latencies_ms_;
  std::sort(latencies.begin(), latencies.end());
  constexpr double kP50 = 0.5;
  constexpr double kP99 = 0.99;
  const nlohmann::json document = {
      {"sent", result.sent_},
      {"outcomes", result.outcomes_},
      {"reasons", result.reasons_},
      {"unanswered", result.unanswered_},
      {"wrong", result.wrong_},
      {"misrouted", result.misrouted_},
      {"in_time", result.in_time_},
      {"goodput", static_cast<double>(result.in_time_) / seconds},
      {"p50_ms", Quantile(latencies, kP50)},
      {"p99_ms", Quantile(latencies, kP99)}};
  return document.dump();
}

}  // namespace clementinerill

#ifndef CLEMENTINERILL_TESTS_LIMITS_OVERLOAD_MODEL_H_
#define CLEMENTINERILL_TESTS_LIMITS_OVERLOAD_MODEL_H_

#include <algorithm>
#include <numeric>
#include <random>
#include <vector>

#include "limits/query_gate.h"

namespace clementinerill {

/// @brief Simulated daemon whose running queries share its workers equally
/// (processor sharing).
struct OverloadModel {
  double workers_ = 20;
  double contention_ = 0;  ///< Relative loss of capacity per excess query.
  int shortest_ms_ = 50;   ///< Service times are uniform in this range.
  int longest_ms_ = 150;
  int deadline_ms_ = 260;
  double load_ = 1;           ///< Offered work relative to the workers.
  double failure_ratio_ = 0;  ///< Queries that miss their deadline at any load.
};

/// @brief Goodput of each second: the work that met its deadline, relative to
/// the capacity of the workers.
///
/// A query beyond the limit is rejected; one past its deadline is cancelled.
/// Queries still running at the end finish as `kNotRun`.
inline std::vector<double> RunModel(const OverloadModel& model,
                                    QueryGate& gate,
                                    int seconds,
                                    unsigned seed,
                                    Instant start = {}) {
  struct Running {
    Instant admitted_;
    double work_ms_;
    double remaining_ms_;
  };
  std::mt19937 random(seed);
  const double mean_ms = (model.shortest_ms_ + model.longest_ms_) / 2.0;
  std::poisson_distribution<int> arrivals(model.load_ * model.workers_ /
                                          mean_ms);
  std::uniform_real_distribution<double> work(model.shortest_ms_,
                                              model.longest_ms_);
  std::bernoulli_distribution fails(model.failure_ratio_);
  const double unbounded_ms = 1e9;
  std::vector<Running> running;
  std::vector<double> goodput(seconds, 0.0);
  for (int ms = 0; ms < seconds * 1000; ++ms) {
    const Instant now = start + std::chrono::milliseconds(ms);
    for (int i = arrivals(random); i > 0; --i) {
      const double work_ms = work(random);
      const double remaining_ms = fails(random) ? unbounded_ms : work_ms;
      if (AdmitQuery(gate)) {
        running.push_back({now, work_ms, remaining_ms});
      }
    }
    const double excess = std::max(0.0, running.size() - model.workers_);
    const double capacity = model.workers_ / (1 + model.contention_ * excess);
    const double progress = std::min(1.0, capacity / running.size());
    const auto has_completed = [&](Running& query) {
      query.remaining_ms_ -= progress;
      const bool answered = query.remaining_ms_ <= 0;
      const bool late = now - query.admitted_ >=
                        std::chrono::milliseconds(model.deadline_ms_);
      if (answered || late) {
        const bool in_time = answered && !late;
        FinishQuery(gate,
                    in_time ? QueryCompletion::kDeadlineMet
                            : QueryCompletion::kDeadlineMissed,
                    now);
        const double share = query.work_ms_ / (1000 * model.workers_);
        goodput[ms / 1000] += in_time ? share : 0;
      }
      return answered || late;
    };
    running.erase(std::remove_if(running.begin(), running.end(), has_completed),
                  running.end());
  }
  for (size_t i = 0; i < running.size(); ++i) {
    FinishQuery(gate, QueryCompletion::kNotRun, start);
  }
  return goodput;
}

/// @brief Mean goodput from second `first` on.
inline double MeanFrom(const std::vector<double>& goodput, size_t first) {
  const double sum =
      std::accumulate(goodput.begin() + first, goodput.end(), 0.0);
  return sum / static_cast<double>(goodput.size() - first);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_LIMITS_OVERLOAD_MODEL_H_

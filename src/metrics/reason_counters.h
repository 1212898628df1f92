#ifndef CLEMENTINERILL_METRICS_REASON_COUNTERS_H_
#define CLEMENTINERILL_METRICS_REASON_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/invariant.h"
#include "base/name_table.h"
#include "metrics/counter.h"

namespace clementinerill {

/// @brief One counter for each value of a reason enumeration.
///
/// A `MetricsRegistry` owns the counters; see `AddReasonCounters`. The name
/// table must list the values 0 to N - 1 in order, so that a value is the
/// index of its counter and no search is needed.
template <typename Enum, size_t N>
class ReasonCounters {
 public:
  ReasonCounters(const std::array<NameEntry<Enum>, N>& table,
                 const std::array<Counter*, N>& counters)
      : counters_(counters) {
    for (size_t i = 0; i < N; ++i) {
      CR_INVARIANT(static_cast<size_t>(table[i].value_) == i);
    }
  }

  void Increment(Enum reason) noexcept { At(reason).Increment(); }
  void Increment(Enum reason, uint64_t count) noexcept {
    At(reason).Increment(count);
  }

  [[nodiscard]] uint64_t Value(Enum reason) const noexcept {
    return At(reason).Value();
  }

 private:
  [[nodiscard]] Counter& At(Enum reason) const noexcept {
    const auto index = static_cast<size_t>(reason);
    CR_INVARIANT(index < N);
    return *counters_[index];
  }

  std::array<Counter*, N> counters_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_REASON_COUNTERS_H_

#ifndef CLEMENTINERILL_METRICS_GAUGE_H_
#define CLEMENTINERILL_METRICS_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace clementinerill {

/// @brief An integer value that can go up and down; safe to use from any
/// thread.
class Gauge {
 public:
  void Set(int64_t value) noexcept {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(int64_t delta) noexcept {
    value_.fetch_add(delta, std::memory_order_relaxed);
  }
  [[nodiscard]] int64_t Value() const noexcept {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<int64_t> value_{0};
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_GAUGE_H_

#ifndef CLEMENTINERILL_TESTS_GATEWAY_FAILING_ALLOCATIONS_H_
#define CLEMENTINERILL_TESTS_GATEWAY_FAILING_ALLOCATIONS_H_

#include <cstddef>
#include <cstdint>

namespace clementinerill::gateway {

/// @brief Makes `operator new` throw `std::bad_alloc` in this thread while an
/// object of this type exists: for allocations of `min_bytes` or more, from the
/// `skipped` + 1st on, `count` of them.
class FailingAllocations {
 public:
  FailingAllocations(size_t min_bytes, uint64_t skipped, uint64_t count);
  ~FailingAllocations();
  FailingAllocations(const FailingAllocations&) = delete;
  FailingAllocations& operator=(const FailingAllocations&) = delete;

  /// @brief How many have failed.
  [[nodiscard]] static uint64_t Failed();
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_TESTS_GATEWAY_FAILING_ALLOCATIONS_H_

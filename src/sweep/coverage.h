#ifndef CLEMENTINERILL_SWEEP_COVERAGE_H_
#define CLEMENTINERILL_SWEEP_COVERAGE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "sweep/key_range.h"

namespace clementinerill {

/// @brief The union of the key ranges that an answer covers.
///
/// Overlapping ranges are counted once, so the covered fraction stays correct
/// after repartitioning.
class Coverage {
 public:
  /// @brief Adds a range; invalid ranges are ignored.
  void Add(const KeyRange& range);

  /// @brief Number of covered keys, from 0 to `kKeySpaceEnd`.
  [[nodiscard]] uint64_t CoveredKeys() const noexcept;

  /// @brief Whether every key is covered.
  [[nodiscard]] bool IsFull() const noexcept;

  /// @brief Covered fraction of the key space, rounded down so that only full
  /// coverage is reported as 1.
  [[nodiscard]] double Fraction() const noexcept;

  /// @brief The ranges that are not covered, in ascending order.
  [[nodiscard]] std::vector<KeyRange> Missing() const;

 private:
  std::map<uint64_t, uint64_t> end_by_begin_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_COVERAGE_H_

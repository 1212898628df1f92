#ifndef CLEMENTINERILL_TESTS_LIMITS_STEPS_H_
#define CLEMENTINERILL_TESTS_LIMITS_STEPS_H_

#include <vector>

#include <rapidcheck.h>

namespace clementinerill {

/// @brief Up to about 100 steps from 0 to 999 for a property test.
///
/// The nominal size makes the whole range of steps equally likely.
inline rc::Gen<std::vector<int>> Steps() {
  const auto steps =
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  return rc::gen::resize(rc::kNominalSize, steps);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_LIMITS_STEPS_H_

#ifndef CLEMENTINERILL_TESTS_LIMITS_STEPS_H_
#define CLEMENTINERILL_TESTS_LIMITS_STEPS_H_

#include <vector>

#include <rapidcheck.h>

namespace clementinerill {

/// @brief Generates up to about 100 steps from 0 to 999 for a property test.
///
/// At the nominal size, all values of the range are equally likely.
inline rc::Gen<std::vector<int>> Steps() {
  const auto steps =
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
  return rc::gen::resize(rc::kNominalSize, steps);
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_LIMITS_STEPS_H_

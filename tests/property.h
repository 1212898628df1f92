#ifndef CLEMENTINERILL_TESTS_PROPERTY_H_
#define CLEMENTINERILL_TESTS_PROPERTY_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <unordered_map>
#include <utility>

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <catch2/catch.hpp>

namespace clementinerill {

/// @brief Checks a rapidcheck property with a fixed seed; silent on success.
template <typename Testable>
void CheckProperty(uint64_t seed, int cases, Testable&& testable) {
  rc::detail::TestParams params;
  params.seed = seed;
  params.maxSuccess = cases;
  // Shrinking a sequence of thousands of events takes minutes.
  params.disableShrinking = true;
  rc::detail::TestListenerAdapter listener;
  const auto result = rc::detail::checkTestable(
      std::forward<Testable>(testable), rc::detail::TestMetadata{}, params,
      listener, std::unordered_map<std::string, rc::detail::Reproduce>{});
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  REQUIRE(result.template is<rc::detail::SuccessResult>());
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_PROPERTY_H_

#ifndef CLEMENTINERILL_FAKES_LOAD_ANSWER_CHECK_H_
#define CLEMENTINERILL_FAKES_LOAD_ANSWER_CHECK_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace clementinerill {

/// @brief Whether an answer says what the data says.
///
/// Computes the hits of the covered ranges under the stated index version
/// directly and compares them; checks that the coverage fits the ranges.
[[nodiscard]] bool IsTrueAnswer(const nlohmann::json& answer,
                                const std::string& query,
                                size_t top);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_LOAD_ANSWER_CHECK_H_

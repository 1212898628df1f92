#ifndef CLEMENTINERILL_FAKES_LOAD_ANSWER_CHECK_H_
#define CLEMENTINERILL_FAKES_LOAD_ANSWER_CHECK_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace clementinerill {

/// @brief Whether an answer matches the generated index.
///
/// Computes the expected hits of the covered ranges for the reported index
/// version and compares them. Also checks that the reported coverage and
/// outcome are consistent with the missing ranges.
[[nodiscard]] bool IsCorrectAnswer(const nlohmann::json& answer,
                                   const std::string& query,
                                   size_t top);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_LOAD_ANSWER_CHECK_H_

#ifndef CLEMENTINERILL_CODEC_JSON_SLICES_H_
#define CLEMENTINERILL_CODEC_JSON_SLICES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/result.h"

namespace clementinerill {

/// @brief The text of one JSON value inside a larger document.
struct JsonSlice {
  std::string_view text_;  ///< Without surrounding white space.
  size_t depth_ = 0;       ///< Nested arrays and objects; 0 for a scalar.
};

/// @brief A member of a JSON object.
struct JsonMember {
  std::string key_;  ///< With escape sequences resolved.
  JsonSlice value_;
};

/// @brief Bounds on a JSON value that is parsed into a tree.
///
/// Copying and serializing a tree is recursive, so its depth bounds the stack
/// that they use.
struct JsonBounds {
  size_t max_bytes_ = 1024 * 1024;
  size_t max_depth_ = 32;
};

/// @brief Splits the text of a JSON array into its elements.
///
/// Uses no recursion and looks only at strings, brackets and commas. A
/// malformed element therefore does not affect the others as long as its
/// strings and brackets are closed. Errors: the text is not an array, or a
/// string or bracket is not closed.
[[nodiscard]] Result<std::vector<JsonSlice>> SplitJsonArray(
    std::string_view text);

/// @brief Splits the text of a JSON object into its members, in the same way.
///
/// Further errors: a key is not a string, or has no value.
[[nodiscard]] Result<std::vector<JsonMember>> SplitJsonObject(
    std::string_view text);

/// @brief Returns the value of the last member named `key`, or null if there is
/// none.
[[nodiscard]] const JsonSlice* FindMember(
    const std::vector<JsonMember>& members,
    std::string_view key) noexcept;

/// @brief Parses a slice into a tree.
///
/// Errors: the value exceeds `bounds`, is not valid JSON, or contains a number
/// that no finite `double` represents.
[[nodiscard]] Result<nlohmann::json> ParseJson(const JsonSlice& slice,
                                               const JsonBounds& bounds);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CODEC_JSON_SLICES_H_

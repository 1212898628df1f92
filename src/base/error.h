#ifndef CLEMENTINERILL_BASE_ERROR_H_
#define CLEMENTINERILL_BASE_ERROR_H_

#include <string>
#include <utility>

#include "base/source_position.h"

namespace clementinerill {

/// @brief A failure as a value: where it was found and what is wrong.
///
/// `description_` is one sentence without a final full stop. `position_` is
/// the place in the input, or the default position where there is none.
struct Error {
  std::string description_;
  SourcePosition position_;
};

/// @brief Makes an error without a position.
[[nodiscard]] inline Error MakeError(std::string description) {
  return Error{std::move(description), {}};
}

/// @brief Formats as `<path>:<line>:<column>: <description>`, leaving out the
/// parts that are unknown.
[[nodiscard]] std::string Format(const Error& error);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_ERROR_H_

#ifndef CLEMENTINERILL_BASE_ERROR_H_
#define CLEMENTINERILL_BASE_ERROR_H_

#include <string>
#include <utility>

#include "base/source_position.h"

namespace clementinerill {

/// @brief An error that is returned as a value.
///
/// `description_` says what is wrong in one sentence without a final full stop.
/// `position_` is the position in the input, or the default position if there
/// is none.
struct Error {
  std::string description_;
  SourcePosition position_;
};

/// @brief Makes an error without a position.
[[nodiscard]] inline Error MakeError(std::string description) {
  return Error{std::move(description), {}};
}

/// @brief Formats as `<path>:<line>:<column>: <description>`, omitting the
/// parts that are unknown.
[[nodiscard]] std::string Format(const Error& error);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_ERROR_H_

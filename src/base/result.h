#ifndef CLEMENTINERILL_BASE_RESULT_H_
#define CLEMENTINERILL_BASE_RESULT_H_

#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "base/error.h"

namespace clementinerill {

/// @brief A value, or the error that explains why there is none.
template <typename T>
using Result = tl::expected<T, Error>;

/// @brief Makes a failed `Result` from a description.
///
/// Example: `return Fail("port must be between 1 and 65535");`
[[nodiscard]] inline tl::unexpected<Error> Fail(std::string description) {
  return tl::make_unexpected(MakeError(std::move(description)));
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_RESULT_H_

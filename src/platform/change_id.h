#ifndef CLEMENTINERILL_PLATFORM_CHANGE_ID_H_
#define CLEMENTINERILL_PLATFORM_CHANGE_ID_H_

#include <string>

namespace clementinerill {

/// @brief Returns the member `change_id` of a JSON object, or an empty string
/// if it is missing or not a string, or if `value` is not a JSON object.
///
/// A writer identifies its own write by it after the response was lost.
[[nodiscard]] std::string ChangeIdOf(const std::string& value);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_CHANGE_ID_H_

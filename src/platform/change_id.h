#ifndef CLEMENTINERILL_PLATFORM_CHANGE_ID_H_
#define CLEMENTINERILL_PLATFORM_CHANGE_ID_H_

#include <string>

namespace clementinerill {

/// @brief The member `change_id` of a JSON object, or empty.
///
/// A writer recognises its own write by it after a lost response.
[[nodiscard]] std::string ChangeIdOf(const std::string& value);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_CHANGE_ID_H_

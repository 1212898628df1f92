#ifndef CLEMENTINERILL_ADMIN_APPLY_CHANGE_H_
#define CLEMENTINERILL_ADMIN_APPLY_CHANGE_H_

#include <cstdint>
#include <string>

#include "admin/change_outcome.h"
#include "admin/operation.h"
#include "base/time.h"
#include "platform/platform_client.h"

namespace clementinerill {

/// @brief A new change id, unique among all writers.
[[nodiscard]] std::string MakeChangeId();

/// @brief Applies `operation` to the stored configuration.
///
/// Reads the document, applies the operation and writes the result on
/// condition that the version has not changed. After a conflict a commutative
/// operation is applied again to the new document; any other returns the
/// conflict with the current version. If `required_version` is not 0, a stored
/// version other than this one is a conflict.
[[nodiscard]] ChangeOutcome ApplyChange(PlatformClient& client,
                                        const Operation& operation,
                                        Instant deadline,
                                        uint64_t required_version = 0);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_APPLY_CHANGE_H_

#ifndef CLEMENTINERILL_ADMIN_APPLY_CHANGE_H_
#define CLEMENTINERILL_ADMIN_APPLY_CHANGE_H_

#include <cstdint>
#include <string>

#include "admin/change_outcome.h"
#include "admin/operation.h"
#include "base/time.h"
#include "platform/platform_client.h"

namespace clementinerill {

/// @brief Returns a random 128-bit change id in hexadecimal digits, unique
/// among all writers.
[[nodiscard]] std::string MakeChangeId();

/// @brief Applies `operation` to the stored configuration.
///
/// Reads the document, applies the operation and writes the result with a
/// compare-and-set on the version. After a conflict, a commutative operation is
/// retried on the new document; for any other operation the conflict is
/// returned with the current version. If `required_version` is not 0 and
/// differs from the stored version, the result is a conflict.
[[nodiscard]] ChangeOutcome ApplyChange(PlatformClient& client,
                                        const Operation& operation,
                                        Instant deadline,
                                        uint64_t required_version = 0);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_APPLY_CHANGE_H_

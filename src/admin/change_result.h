#ifndef CLEMENTINERILL_ADMIN_CHANGE_RESULT_H_
#define CLEMENTINERILL_ADMIN_CHANGE_RESULT_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Result of an attempt to change the configuration.
enum class ChangeResult {
  kAccepted,
  kUnchanged,    ///< The document already has the wanted content.
  kInvalid,      ///< The operation can't be applied; nothing was written.
  kConflict,     ///< A concurrent write came first; nothing was written.
  kRejected,     ///< The store rejected the request; nothing was written.
  kUnavailable,  ///< The store was unavailable; nothing was written.
  kUnknown,      ///< The change may have been written.
};

inline constexpr std::array<NameEntry<ChangeResult>, 7> kChangeResultNames = {{
    {ChangeResult::kAccepted, "accepted"},
    {ChangeResult::kUnchanged, "unchanged"},
    {ChangeResult::kInvalid, "invalid"},
    {ChangeResult::kConflict, "conflict"},
    {ChangeResult::kRejected, "rejected"},
    {ChangeResult::kUnavailable, "unavailable"},
    {ChangeResult::kUnknown, "unknown"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_CHANGE_RESULT_H_

#ifndef CLEMENTINERILL_PLATFORM_WRITE_STATUS_H_
#define CLEMENTINERILL_PLATFORM_WRITE_STATUS_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Outcome of a write.
enum class WriteStatus {
  kAccepted,     ///< The write took effect.
  kConflict,     ///< The object had another version; nothing was written.
  kUnknown,      ///< The write may have taken effect.
  kUnavailable,  ///< The write did not take effect: the store was unavailable.
  kRejected,     ///< The store rejected the request; nothing was written.
};

inline constexpr std::array<NameEntry<WriteStatus>, 5> kWriteStatusNames = {{
    {WriteStatus::kAccepted, "accepted"},
    {WriteStatus::kConflict, "conflict"},
    {WriteStatus::kUnknown, "unknown"},
    {WriteStatus::kUnavailable, "unavailable"},
    {WriteStatus::kRejected, "rejected"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_WRITE_STATUS_H_

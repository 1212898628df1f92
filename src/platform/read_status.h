#ifndef CLEMENTINERILL_PLATFORM_READ_STATUS_H_
#define CLEMENTINERILL_PLATFORM_READ_STATUS_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Outcome of a read or a watch.
enum class ReadStatus {
  kFound,        ///< The object was returned.
  kAbsent,       ///< The store responded that the object does not exist.
  kUnchanged,    ///< A watch ended without a newer version.
  kUnavailable,  ///< No usable response before the deadline.
  kRejected,     ///< Request or response is invalid, e.g. a wrong token.
};

inline constexpr std::array<NameEntry<ReadStatus>, 5> kReadStatusNames = {{
    {ReadStatus::kFound, "found"},
    {ReadStatus::kAbsent, "absent"},
    {ReadStatus::kUnchanged, "unchanged"},
    {ReadStatus::kUnavailable, "unavailable"},
    {ReadStatus::kRejected, "rejected"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_READ_STATUS_H_

#ifndef CLEMENTINERILL_PLATFORM_READ_STATUS_H_
#define CLEMENTINERILL_PLATFORM_READ_STATUS_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How a read or a watch ended.
enum class ReadStatus {
  kFound,        ///< The object was returned.
  kAbsent,       ///< The store answered that there is no such object.
  kUnchanged,    ///< A watch ended without a newer version.
  kUnavailable,  ///< No usable answer before the deadline.
  kRejected,     ///< The store refused the call, for example a wrong token.
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

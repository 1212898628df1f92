#ifndef CLEMENTINERILL_PLATFORM_VM_STATE_H_
#define CLEMENTINERILL_PLATFORM_VM_STATE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief State of a VM as reported by the platform, which may be out of date.
enum class VmState {
  kLive,
  kLeaving,
};

inline constexpr std::array<NameEntry<VmState>, 2> kVmStateNames = {{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_VM_STATE_H_

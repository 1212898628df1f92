#ifndef CLEMENTINERILL_PLATFORM_VM_STATE_H_
#define CLEMENTINERILL_PLATFORM_VM_STATE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief What the platform says about a VM; lags behind reality.
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

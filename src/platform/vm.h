#ifndef CLEMENTINERILL_PLATFORM_VM_H_
#define CLEMENTINERILL_PLATFORM_VM_H_

#include <string>

#include "platform/vm_state.h"

namespace clementinerill {

/// @brief An entry of the platform's VM list.
struct Vm {
  std::string name_;
  std::string address_;         ///< IP address.
  std::string failure_domain_;  ///< Empty if the platform reports none.
  VmState state_ = VmState::kLive;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_VM_H_

#ifndef CLEMENTINERILL_CONTROL_ROLLED_BACK_CHANGE_H_
#define CLEMENTINERILL_CONTROL_ROLLED_BACK_CHANGE_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief A change that a later change rolled back.
struct RolledBackChange {
  uint64_t version_ = 0;
  std::string reason_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_ROLLED_BACK_CHANGE_H_

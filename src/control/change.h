#ifndef CLEMENTINERILL_CONTROL_CHANGE_H_
#define CLEMENTINERILL_CONTROL_CHANGE_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief An accepted change of the configuration.
struct Change {
  uint64_t version_ = 0;
  std::string change_id_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CHANGE_H_

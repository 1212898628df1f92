#ifndef CLEMENTINERILL_MEMBERSHIP_GROUP_POOL_H_
#define CLEMENTINERILL_MEMBERSHIP_GROUP_POOL_H_

#include <string>

#include "base/time.h"

namespace clementinerill {

/// @brief The settings of a pool that its witness group uses.
struct GroupPool {
  std::string name_;
  int seats_ = 3;
  Duration longest_deadline_{};  ///< Longest deadline of the pool's routes.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_GROUP_POOL_H_

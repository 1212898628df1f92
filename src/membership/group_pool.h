#ifndef CLEMENTINERILL_MEMBERSHIP_GROUP_POOL_H_
#define CLEMENTINERILL_MEMBERSHIP_GROUP_POOL_H_

#include <string>

#include "base/time.h"

namespace clementinerill {

/// @brief What a witness group needs to know about one of its pools.
struct GroupPool {
  std::string name_;
  int seats_ = 3;
  Duration longest_deadline_{};  ///< Longest deadline of the pool's routes.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_GROUP_POOL_H_

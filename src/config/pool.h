#ifndef CLEMENTINERILL_CONFIG_POOL_H_
#define CLEMENTINERILL_CONFIG_POOL_H_

#include <string>

namespace clementinerill {

/// @brief A set of services that a fan-out query covers as a whole.
///
/// `slots_` and `connections_` limit each replica, summed over all daemons.
struct Pool {
  std::string name_;
  int slots_ = 1;         ///< Maximum concurrent requests at one replica.
  int connections_ = 30;  ///< Maximum connections to one replica.
  int seats_ = 3;         ///< Daemons that may send to the pool at a time.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_POOL_H_

#ifndef CLEMENTINERILL_CONFIG_POOL_H_
#define CLEMENTINERILL_CONFIG_POOL_H_

#include <string>

namespace clementinerill {

/// @brief A set of services that a sweep covers together.
///
/// The limits hold for each replica and for the whole fleet of daemons.
struct Pool {
  std::string name_;
  int slots_ = 1;         ///< Requests that one replica runs at once.
  int connections_ = 30;  ///< Connections that one replica accepts.
  int seats_ = 3;         ///< Daemons that may send to the pool.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_POOL_H_

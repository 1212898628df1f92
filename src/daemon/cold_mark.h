#ifndef CLEMENTINERILL_DAEMON_COLD_MARK_H_
#define CLEMENTINERILL_DAEMON_COLD_MARK_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief The warm-up state of one replica, as exchanged between daemons.
///
/// Corresponds to an advisory of kind `replica_cold`: a higher generation
/// takes precedence; within a generation, active takes precedence.
struct ColdMark {
  std::string upstream_;
  uint64_t generation_ = 0;
  bool active_ = false;  ///< Whether the replica is cold.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_COLD_MARK_H_

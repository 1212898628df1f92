#ifndef CLEMENTINERILL_DAEMON_COLD_MARK_H_
#define CLEMENTINERILL_DAEMON_COLD_MARK_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief What daemons tell each other about the warm-up of one replica.
///
/// Corresponds to an advisory of kind `replica_cold`: the higher generation
/// wins; within a generation, active wins.
struct ColdMark {
  std::string upstream_;
  uint64_t generation_ = 0;
  bool active_ = false;  ///< Whether the replica is cold.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_COLD_MARK_H_

#ifndef CLEMENTINERILL_USAGE_MESSAGE_H_
#define CLEMENTINERILL_USAGE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "usage/window.h"

namespace clementinerill::usage {

/// @brief Cumulative count of one process for one window and organisation.
struct Count {
  std::string process_;
  int64_t window_ = 0;
  /// Empty for the mark with which a process states that its counts of the
  /// window are complete; see `Mark`.
  std::string organisation_;
  int64_t count_ = 0;
};

/// @brief Position in the changes of a process' table.
struct TablePosition {
  std::string process_;
  uint64_t version_ = 0;
};

/// @brief What daemons tell each other about usage, as part of the messages
/// between them.
struct Message {
  std::string process_;        ///< The sending process.
  std::vector<Count> counts_;  ///< Changes that the receiver may not know.
  /// `counts_` has the changes of the sender's table after version `since_` up
  /// to `version_`.
  uint64_t since_ = 0;
  uint64_t version_ = 0;
  /// What the sender knows of the receiver's table, which makes lost messages
  /// be repeated; unset if it wants no counts.
  std::optional<TablePosition> known_;
  /// The sender's wall clock and agreed time when it sent the message.
  std::optional<WallTime> wall_;
  std::optional<WallTime> agreed_;
  /// In a response: the time since the request was received.
  std::chrono::milliseconds held_{};
};

}  // namespace clementinerill::usage

#endif  // CLEMENTINERILL_USAGE_MESSAGE_H_

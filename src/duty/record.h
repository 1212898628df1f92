#ifndef CLEMENTINERILL_DUTY_RECORD_H_
#define CLEMENTINERILL_DUTY_RECORD_H_

#include <cstdint>
#include <string>

#include "base/time.h"

namespace clementinerill::duty {

/// @brief The object of a duty in the store.
struct Record {
  std::string holder_;   ///< Name of the daemon.
  std::string process_;  ///< Unique id of the process of the holder.
  int64_t token_ = 0;
  int64_t era_ = 0;  ///< Era of the store for which the token was made.
  /// Number of the write among those of the process. It makes each write
  /// differ: the store creates no revision for identical content.
  int64_t sequence_ = 0;
  Duration lease_{};
  std::string payload_;  ///< Belongs to the duty; opaque here.
};

[[nodiscard]] inline bool operator==(const Record& a, const Record& b) {
  return a.holder_ == b.holder_ && a.process_ == b.process_ &&
         a.token_ == b.token_ && a.era_ == b.era_ &&
         a.sequence_ == b.sequence_ && a.lease_ == b.lease_ &&
         a.payload_ == b.payload_;
}

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_RECORD_H_

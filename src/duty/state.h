#ifndef CLEMENTINERILL_DUTY_STATE_H_
#define CLEMENTINERILL_DUTY_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_instant.h"
#include "duty/record.h"
#include "duty/rules.h"

namespace clementinerill::duty {

/// @brief A write that is not known to have taken effect.
struct SentWrite {
  Record record_;
  int64_t revision_ = 0;  ///< Of the object that it replaces.
  BootInstant sent_at_;
};

/// @brief What a daemon knows of the object in the store.
struct KnownObject {
  std::optional<Record> record_;  ///< Unset: the store has none.
  int64_t revision_ = 0;  ///< Of the object; without one, that of the store.
  /// When this daemon first learned of the object at this revision.
  BootInstant since_;
};

/// @brief The right to act with a token, from a confirmed write of this
/// process. It may have expired.
struct Lease {
  int64_t token_ = 0;
  BootInstant sent_at_;  ///< When the write was sent.
  std::string payload_;  ///< In force in the store.
};

enum class CallInProgress {
  kNone,
  kRead,
  kWrite,
};

/// @brief The state of the election at one daemon. All changes are made by the
/// functions of this library; readers use those of holding.h.
struct State {
  Rules rules_;
  std::string holder_;   ///< Name of this daemon.
  std::string process_;  ///< Unique id of this process.
  /// Position among the candidates, from 0; unset if it is not one.
  std::optional<int> candidate_rank_;
  int64_t era_ = 0;                   ///< Highest era seen.
  std::optional<KnownObject> known_;  ///< In era `era_`; unset if unknown.
  std::optional<Lease> lease_;
  /// Writes that may have taken effect or may still do so, oldest first.
  std::vector<SentWrite> unresolved_;
  int64_t sequence_ = 0;  ///< Number of the last write.
  /// Payload that is not in force yet.
  std::optional<std::string> wanted_payload_;
  CallInProgress in_progress_ = CallInProgress::kNone;
  /// The object must be read before the next write.
  bool must_read_ = false;
  std::optional<BootInstant> last_read_;  ///< When the last read ended.
  std::optional<BootInstant> retry_at_;   ///< Set after a failed call.
};

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_STATE_H_

#ifndef CLEMENTINERILL_DUTY_ACTION_H_
#define CLEMENTINERILL_DUTY_ACTION_H_

#include <cstdint>
#include <optional>

#include "base/boot_instant.h"
#include "base/time.h"
#include "duty/record.h"

namespace clementinerill::duty {

enum class ActionKind {
  kWait,
  kRead,
  kWrite,
};

/// @brief What a daemon does next for the election.
struct Action {
  ActionKind kind_ = ActionKind::kWait;
  /// For `kWait`: when to ask again; unset if that is at the next event.
  std::optional<BootInstant> until_;
  /// For `kRead`: whether the response may be an older state of the store.
  bool may_be_stale_ = false;
  Record record_;  ///< For `kWrite`: the object to write.
  /// For `kWrite`: the write must fail unless the object is still at this
  /// revision. Unset: it must fail if there is an object.
  std::optional<int64_t> revision_;
};

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_ACTION_H_

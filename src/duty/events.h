#ifndef CLEMENTINERILL_DUTY_EVENTS_H_
#define CLEMENTINERILL_DUTY_EVENTS_H_

#include <cstdint>
#include <optional>

#include "duty/record.h"

namespace clementinerill::duty {

/// @brief The end of a read that `NextAction` asked for.
struct ReadEvent {
  /// False if there was no response, or one that could not be used.
  bool is_answered_ = false;
  int64_t era_ = 0;  ///< Era of the store that the response names; 0 if none.
  /// The object; unset if the store has none.
  std::optional<Record> record_;
  /// Revision of the object; without one, that of the store.
  int64_t revision_ = 0;
};

/// @brief The end of a write that `NextAction` asked for.
struct WriteEvent {
  /// False unless the store confirmed that the write took effect. It may still
  /// have taken effect, or do so later.
  bool is_confirmed_ = false;
  int64_t era_ = 0;       ///< As in `ReadEvent`.
  int64_t revision_ = 0;  ///< Revision of the written object; 0 if unknown.
};

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_EVENTS_H_

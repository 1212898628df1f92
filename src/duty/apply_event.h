#ifndef CLEMENTINERILL_DUTY_APPLY_EVENT_H_
#define CLEMENTINERILL_DUTY_APPLY_EVENT_H_

#include <optional>

#include "base/boot_instant.h"
#include "duty/events.h"
#include "duty/state.h"

namespace clementinerill::duty {

/// @brief Records the end of a read.
/// @param now not before the response was received.
void ApplyRead(State& state, const ReadEvent& event, BootInstant now);

/// @brief Records the end of a write.
void ApplyWrite(State& state, const WriteEvent& event, BootInstant now);

/// @brief Sets the position of this daemon among the candidates, from 0; unset
/// if it is not one. A holder remains the holder.
void SetCandidateRank(State& state, std::optional<int> rank) noexcept;

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_APPLY_EVENT_H_

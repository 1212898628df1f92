#ifndef CLEMENTINERILL_DUTY_HOLDING_H_
#define CLEMENTINERILL_DUTY_HOLDING_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/boot_instant.h"
#include "base/time.h"
#include "duty/forward_declarations.h"

namespace clementinerill::duty {

/// @brief Returns the token with which a call that ends within `timeout` may be
/// sent now; unset if this daemon must not send it.
///
/// The caller must send the call at once and abandon it after `timeout`.
[[nodiscard]] std::optional<int64_t> MayCall(const State& state,
                                             BootInstant now,
                                             Duration timeout) noexcept;

/// @brief Returns the token while this daemon holds the duty.
[[nodiscard]] std::optional<int64_t> HeldToken(const State& state,
                                               BootInstant now) noexcept;

/// @brief Returns the payload that is in force in the store; null unless this
/// daemon holds the duty. The next event may change it.
[[nodiscard]] const std::string* PayloadInForce(const State& state,
                                                BootInstant now) noexcept;

/// @brief Replaces the payload; it is in force once a write has been confirmed.
/// Returns false, without an effect, unless this daemon holds the duty.
///
/// The next `NextAction` writes it. It must derive from `PayloadInForce`: it is
/// dropped when this daemon loses the duty, and when another payload of this
/// process takes effect by a late write.
bool SetPayload(State& state, std::string payload, BootInstant now);

/// @brief Whether a payload waits for its write to be confirmed.
[[nodiscard]] bool HasPendingPayload(const State& state) noexcept;

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_HOLDING_H_

#ifndef CLEMENTINERILL_DUTY_TOKEN_H_
#define CLEMENTINERILL_DUTY_TOKEN_H_

#include <cstdint>
#include <optional>

namespace clementinerill::duty {

/// @brief Returns the era for which a token was made.
[[nodiscard]] int64_t EraOfToken(int64_t token) noexcept;

/// @brief Returns the token of the next holder in `era`, which is higher than
/// that of each holder before; unset if none below 2^53 is left.
///
/// Within an era the counter in the lower 32 bits rises by 1. The first one of
/// an era is `revision`, at which the object was read, because it cannot be
/// told from the object whether the era had a holder already: a late write that
/// was meant for an earlier era may have replaced the object of that holder.
/// Each write raises the revision, so it is above all counters of the era.
///
/// @param previous token of the object; 0 if there is none.
[[nodiscard]] std::optional<int64_t> NextToken(int64_t previous,
                                               int64_t era,
                                               int64_t revision) noexcept;

}  // namespace clementinerill::duty

#endif  // CLEMENTINERILL_DUTY_TOKEN_H_

#ifndef CLEMENTINERILL_FAKES_PLATFORM_FAULT_MODE_H_
#define CLEMENTINERILL_FAKES_PLATFORM_FAULT_MODE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief How the fake platform misbehaves.
enum class FaultMode {
  kNone,
  kDown,         ///< Every call gets 503 or a closed connection.
  kSlow,         ///< Every call is delayed, then served.
  kLoseAnswers,  ///< Writes take effect, then the connection is closed.
};

inline constexpr std::array<NameEntry<FaultMode>, 4> kFaultModeNames = {{
    {FaultMode::kNone, "none"},
    {FaultMode::kDown, "down"},
    {FaultMode::kSlow, "slow"},
    {FaultMode::kLoseAnswers, "lose_answers"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_FAULT_MODE_H_

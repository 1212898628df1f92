#ifndef CLEMENTINERILL_FAKES_PLATFORM_FAULT_MODE_H_
#define CLEMENTINERILL_FAKES_PLATFORM_FAULT_MODE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Kinds of faults injected into the fake platform.
enum class FaultMode {
  kNone,
  kDown,         ///< Fails every call with 503 or a closed connection.
  kSlow,         ///< Delays every call before serving it.
  kLoseAnswers,  ///< Applies writes, then closes without a response.
};

inline constexpr std::array<NameEntry<FaultMode>, 4> kFaultModeNames = {{
    {FaultMode::kNone, "none"},
    {FaultMode::kDown, "down"},
    {FaultMode::kSlow, "slow"},
    {FaultMode::kLoseAnswers, "lose_answers"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_FAULT_MODE_H_

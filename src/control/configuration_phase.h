#ifndef CLEMENTINERILL_CONTROL_CONFIGURATION_PHASE_H_
#define CLEMENTINERILL_CONTROL_CONFIGURATION_PHASE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Whether a daemon has a configuration.
enum class ConfigurationPhase {
  kWaiting,  ///< No source has responded yet.
  kNoneYet,  ///< The store responded that no configuration exists.
  kInForce,
};

inline constexpr std::array<NameEntry<ConfigurationPhase>, 3>
    kConfigurationPhaseNames = {{
        {ConfigurationPhase::kWaiting, "waiting"},
        {ConfigurationPhase::kNoneYet, "none yet"},
        {ConfigurationPhase::kInForce, "in force"},
    }};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CONFIGURATION_PHASE_H_

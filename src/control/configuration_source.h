#ifndef CLEMENTINERILL_CONTROL_CONFIGURATION_SOURCE_H_
#define CLEMENTINERILL_CONTROL_CONFIGURATION_SOURCE_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Where a configuration document came from.
enum class ConfigurationSource {
  kStartUp,  ///< Passed to the process at start, for tests and repairs.
  kStore,
  kPeer,
};

inline constexpr std::array<NameEntry<ConfigurationSource>, 3>
    kConfigurationSourceNames = {{
        {ConfigurationSource::kStartUp, "start-up"},
        {ConfigurationSource::kStore, "store"},
        {ConfigurationSource::kPeer, "peer"},
    }};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CONFIGURATION_SOURCE_H_

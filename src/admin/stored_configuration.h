#ifndef CLEMENTINERILL_ADMIN_STORED_CONFIGURATION_H_
#define CLEMENTINERILL_ADMIN_STORED_CONFIGURATION_H_

#include <string>

#include "base/time.h"
#include "config/configuration.h"
#include "platform/platform_client.h"
#include "platform/read_status.h"

namespace clementinerill {

/// @brief Key of the configuration document in the store.
inline constexpr const char* kConfigurationKey = "config/main";

/// @brief The configuration as read from the store.
struct StoredConfiguration {
  ReadStatus status_ = ReadStatus::kUnavailable;
  /// For `kFound`: the document, with the version that the store assigned.
  Configuration configuration_;
  /// Set if there is no document, and for `kFound` if the stored document is
  /// invalid. `configuration_` then contains only the version.
  std::string reason_;
};

/// @brief Parses the configuration in the outcome of a read or a watch.
[[nodiscard]] StoredConfiguration ParseStoredConfiguration(
    const ReadOutcome& outcome);

/// @brief Reads the object `kConfigurationKey` from the store.
[[nodiscard]] StoredConfiguration ReadStoredConfiguration(
    PlatformClient& client,
    Instant deadline);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_STORED_CONFIGURATION_H_

#include "admin/stored_configuration.h"

#include <utility>

#include "config/configuration_json.h"

namespace clementinerill {

StoredConfiguration ParseStoredConfiguration(const ReadOutcome& outcome) {
  StoredConfiguration stored;
  stored.status_ = outcome.status_;
  stored.reason_ = outcome.reason_;
  if (outcome.status_ == ReadStatus::kAbsent) {
    stored.reason_ = "there is no configuration yet";
  }
  if (outcome.status_ != ReadStatus::kFound) {
    return stored;
  }
  auto parsed = ParseConfiguration(outcome.object_.value_);
  if (parsed) {
    stored.configuration_ = std::move(*parsed);
  } else {
    stored.reason_ =
        "the stored document is invalid: " + Format(parsed.error().front());
  }
  stored.configuration_.version_ = outcome.object_.version_;
  return stored;
}

StoredConfiguration ReadStoredConfiguration(PlatformClient& client,
                                            Instant deadline) {
  return ParseStoredConfiguration(client.Get(kConfigurationKey, deadline));
}

}  // namespace clementinerill

#include "admin/apply_change.h"

#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "admin/document_diff.h"
#include "admin/stored_configuration.h"
#include "config/configuration_json.h"

namespace clementinerill {
namespace {

ChangeOutcome ConflictOutcome(uint64_t version, const std::string& detail) {
  return {ChangeResult::kConflict,
          version,
          {},
          "the configuration has version " + std::to_string(version) + detail};
}

// Returns the outcome if the operation can't be applied to `stored`, or nothing
// if it can.
std::optional<ChangeOutcome> CheckStored(const StoredConfiguration& stored,
                                         bool requires_valid_document,
                                         uint64_t required_version) {
  const uint64_t version = stored.configuration_.version_;
  switch (stored.status_) {
    case ReadStatus::kFound:
    case ReadStatus::kAbsent:
      break;
    case ReadStatus::kRejected:
      return ChangeOutcome{ChangeResult::kRejected, 0, {}, stored.reason_};
    default:
      return ChangeOutcome{ChangeResult::kUnavailable, 0, {}, stored.reason_};
  }
  if (required_version != 0 && required_version != version) {
    return ConflictOutcome(version, ", but the change was made for version " +
                                        std::to_string(required_version));
  }
  if (requires_valid_document && !stored.reason_.empty()) {
    return ChangeOutcome{ChangeResult::kInvalid, version, {}, stored.reason_};
  }
  return std::nullopt;
}

ChangeResult ToChangeResult(WriteStatus status) noexcept {
  switch (status) {
    case WriteStatus::kAccepted:
      return ChangeResult::kAccepted;
    case WriteStatus::kConflict:
      return ChangeResult::kConflict;
    case WriteStatus::kRejected:
      return ChangeResult::kRejected;
    case WriteStatus::kUnavailable:
      return ChangeResult::kUnavailable;
    case WriteStatus::kUnknown:
      break;
  }
  return ChangeResult::kUnknown;
}

ChangeOutcome WriteDocument(PlatformClient& client,
                            Configuration changed,
                            uint64_t current_version,
                            Instant deadline) {
  // The store assigns the version and returns it with the object.
  changed.version_ = 0;
  changed.change_id_ = MakeChangeId();
  WriteOutcome written = client.Put(kConfigurationKey, ToJsonText(changed),
                                    current_version, deadline);
  ChangeOutcome outcome;
  outcome.result_ = ToChangeResult(written.status_);
  outcome.version_ = written.version_;
  outcome.change_id_ = changed.change_id_;
  outcome.reason_ = std::move(written.reason_);
  return outcome;
}

std::string DependencyOf(const Operation& operation,
                         const Configuration& configuration) {
  return operation.dependency_ ? operation.dependency_(configuration) : "";
}

}  // namespace

std::string MakeChangeId() {
  std::random_device random;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    constexpr const char* kDigits = "0123456789abcdef";
    uint32_t word = random();
    for (int digit = 0; digit < 8; ++digit, word >>= 4) {
      id += kDigits[word & 15];
    }
  }
  return id;
}

ChangeOutcome ApplyChange(PlatformClient& client,
                          const Operation& operation,
                          Instant deadline,
                          uint64_t required_version) {
  std::optional<std::string> first_dependency;
  for (int conflicts = 0;; ++conflicts) {
    std::this_thread::sleep_for(client.DelayAfter(conflicts));
    const StoredConfiguration stored =
        ReadStoredConfiguration(client, deadline);
    if (auto rejection = CheckStored(stored, operation.requires_valid_document_,
                                     required_version)) {
      return *rejection;
    }
    const Configuration& current = stored.configuration_;
    const std::string dependency = DependencyOf(operation, current);
    if (first_dependency && dependency != *first_dependency) {
      return ConflictOutcome(current.version_, ", which changed the same part");
    }
    first_dependency = dependency;
    const Result<Configuration> changed = operation.apply_(current);
    if (!changed) {
      return {ChangeResult::kInvalid,
              current.version_,
              {},
              Format(changed.error())};
    }
    if (current.version_ != 0 && stored.reason_.empty() &&
        DiffDocuments(current, *changed).empty()) {
      return {ChangeResult::kUnchanged, current.version_, {}, {}};
    }
    ChangeOutcome outcome =
        WriteDocument(client, *changed, current.version_, deadline);
    const bool should_retry = outcome.result_ == ChangeResult::kConflict &&
                              operation.commutative_ &&
                              std::chrono::steady_clock::now() < deadline;
    if (!should_retry) {
      return outcome;
    }
  }
}

}  // namespace clementinerill

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

ChangeOutcome Conflict(uint64_t version, const std::string& why) {
  return {ChangeResult::kConflict,
          version,
          {},
          "the configuration has version " + std::to_string(version) + why};
}

// The outcome for a document that can't be changed, if it can't.
std::optional<ChangeOutcome> CheckStored(const StoredConfiguration& stored,
                                         bool needs_document,
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
    return Conflict(version, ", but the change was made for version " +
                                 std::to_string(required_version));
  }
  if (needs_document && !stored.reason_.empty()) {
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

ChangeOutcome Write(PlatformClient& client,
                    Configuration changed,
                    uint64_t current_version,
                    Instant deadline) {
  // The store assigns the version; readers take it from the answer.
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

std::string SubjectOf(const Operation& operation,
                      const Configuration& configuration) {
  return operation.subject_ ? operation.subject_(configuration) : "";
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
  std::optional<std::string> first_subject;
  for (int conflicts = 0;; ++conflicts) {
    std::this_thread::sleep_for(client.DelayAfter(conflicts));
    const StoredConfiguration stored = ReadStored(client, deadline);
    if (auto failed =
            CheckStored(stored, operation.needs_document_, required_version)) {
      return *failed;
    }
    const Configuration& current = stored.configuration_;
    const std::string subject = SubjectOf(operation, current);
    if (first_subject && subject != *first_subject) {
      return Conflict(current.version_, ", which changed the same part");
    }
    first_subject = subject;
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
    ChangeOutcome outcome = Write(client, *changed, current.version_, deadline);
    const bool may_repeat = outcome.result_ == ChangeResult::kConflict &&
                            operation.commutative_ &&
                            std::chrono::steady_clock::now() < deadline;
    if (!may_repeat) {
      return outcome;
    }
  }
}

}  // namespace clementinerill

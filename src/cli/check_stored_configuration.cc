#include "cli/check_stored_configuration.h"

namespace clementinerill {

ExitCode CheckStoredConfiguration(const StoredConfiguration& stored,
                                  CommandIo io) {
  if (stored.status_ == ReadStatus::kFound && stored.reason_.empty()) {
    return ExitCode::kDone;
  }
  *io.err_ << NameOf(kReadStatusNames, stored.status_) << ": " << stored.reason_
           << '\n';
  return stored.status_ == ReadStatus::kUnavailable ? ExitCode::kUnavailable
                                                    : ExitCode::kInvalid;
}

}  // namespace clementinerill

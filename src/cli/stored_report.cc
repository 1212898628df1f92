#include "cli/stored_report.h"

namespace clementinerill {

ExitCode CheckUsable(const StoredConfiguration& stored, CommandIo io) {
  if (stored.status_ == ReadStatus::kFound && stored.reason_.empty()) {
    return ExitCode::kDone;
  }
  *io.err_ << NameOf(kReadStatusNames, stored.status_) << ": " << stored.reason_
           << '\n';
  return stored.status_ == ReadStatus::kUnavailable ? ExitCode::kUnavailable
                                                    : ExitCode::kInvalid;
}

}  // namespace clementinerill

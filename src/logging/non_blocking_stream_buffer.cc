#include "logging/bounded_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace clementinerill {
namespace {

// A pipe that is ready for writing takes this many bytes without waiting.
constexpr size_t kPipeBytes = 4096;

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

BoundedOutput::BoundedOutput(int descriptor, size_t most_pending)
    : descriptor_(descriptor), most_pending_(most_pending) {}

BoundedOutput::int_type BoundedOutput::overflow(int_type character) {
  if (character != traits_type::eof()) {
    line_.push_back(static_cast<char>(character));
  }
  return character;
}

std::streamsize BoundedOutput::xsputn(const char* text, std::streamsize size) {
  line_.append(text, static_cast<size_t>(size));
  return size;
}

int BoundedOutput::sync() {
  TakeLine();
  WritePending();
  return 0;
}

void BoundedOutput::TakeLine() {
  if (pending_.size() + line_.size() > most_pending_) {
    ++dropped_;
  } else {
    if (dropped_ > reported_) {
      pending_ += "- warning log: lines dropped count=" +
                  std::to_string(dropped_ - reported_) + "\n";
      reported_ = dropped_;
    }
    pending_ += line_;
  }
  line_.clear();
}

void BoundedOutput::WritePending() {
  while (!pending_.empty() && IsWritable(descriptor_)) {
    const size_t size = std::min(pending_.size(), kPipeBytes);
    const ssize_t written = write(descriptor_, pending_.data(), size);
    if (written <= 0) {
      // A closed reader: the bound keeps what is pending small.
      return;
    }
    pending_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace clementinerill

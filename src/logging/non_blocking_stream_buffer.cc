#include "logging/non_blocking_stream_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace clementinerill {
namespace {

// A pipe that poll() reports as writable accepts this many bytes without
// blocking.
constexpr size_t kMaxWriteBytes = 4096;

bool IsWritable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

NonBlockingStreamBuffer::NonBlockingStreamBuffer(int descriptor,
                                                 size_t max_pending_bytes)
    : descriptor_(descriptor), max_pending_bytes_(max_pending_bytes) {}

NonBlockingStreamBuffer::int_type NonBlockingStreamBuffer::overflow(
    int_type character) {
  if (character != traits_type::eof()) {
    line_.push_back(static_cast<char>(character));
  }
  return character;
}

std::streamsize NonBlockingStreamBuffer::xsputn(const char* text,
                                                std::streamsize size) {
  line_.append(text, static_cast<size_t>(size));
  return size;
}

int NonBlockingStreamBuffer::sync() {
  EnqueueLine();
  WritePending();
  return 0;
}

void NonBlockingStreamBuffer::EnqueueLine() {
  if (pending_.size() + line_.size() > max_pending_bytes_) {
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

void NonBlockingStreamBuffer::WritePending() {
  while (!pending_.empty() && IsWritable(descriptor_)) {
    const size_t size = std::min(pending_.size(), kMaxWriteBytes);
    const ssize_t written = write(descriptor_, pending_.data(), size);
    if (written <= 0) {
      // The reader has closed its end. The limit on pending bytes bounds the
      // memory that is held from now on.
      return;
    }
    pending_.erase(0, static_cast<size_t>(written));
  }
}

}  // namespace clementinerill

#ifndef CLEMENTINERILL_LOGGING_NON_BLOCKING_STREAM_BUFFER_H_
#define CLEMENTINERILL_LOGGING_NON_BLOCKING_STREAM_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace clementinerill {

/// @brief A stream buffer that writes to a file descriptor and never blocks.
///
/// If the reader does not keep up, up to `max_pending_bytes` are held in
/// memory. Further lines are dropped as a whole, and their number is written as
/// a log line once there is room again.
class NonBlockingStreamBuffer : public std::streambuf {
 public:
  /// @brief `descriptor` is not owned: it is neither closed nor switched to
  /// non-blocking mode.
  explicit NonBlockingStreamBuffer(int descriptor,
                                   size_t max_pending_bytes = 256 * 1024);

  [[nodiscard]] uint64_t DroppedLines() const noexcept { return dropped_; }

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  int sync() override;

 private:
  void EnqueueLine();
  void WritePending();

  const int descriptor_;
  const size_t max_pending_bytes_;
  std::string line_;
  std::string pending_;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_NON_BLOCKING_STREAM_BUFFER_H_

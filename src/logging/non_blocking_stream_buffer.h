#ifndef CLEMENTINERILL_LOGGING_BOUNDED_OUTPUT_H_
#define CLEMENTINERILL_LOGGING_BOUNDED_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <streambuf>
#include <string>

namespace clementinerill {

/// @brief A stream buffer that writes to a descriptor and never waits for its
/// reader.
///
/// Bytes that the reader does not take are kept up to a bound; further lines
/// are dropped whole and counted in a line once there is room.
class BoundedOutput : public std::streambuf {
 public:
  /// @brief `descriptor` stays open and is not changed.
  explicit BoundedOutput(int descriptor, size_t most_pending = 256 * 1024);

  [[nodiscard]] uint64_t DroppedLines() const noexcept { return dropped_; }

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  int sync() override;

 private:
  void TakeLine();
  void WritePending();

  const int descriptor_;
  const size_t most_pending_;
  std::string line_;
  std::string pending_;
  uint64_t dropped_ = 0;
  uint64_t reported_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_BOUNDED_OUTPUT_H_

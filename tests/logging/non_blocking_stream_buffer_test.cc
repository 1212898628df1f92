#include "logging/non_blocking_stream_buffer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe(ends_.data()) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string Read() {
    std::string text(1 << 20, '\0');
    const ssize_t size = read(ends_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<size_t>(size) : 0);
    return text;
  }

  std::array<int, 2> ends_{};
};

TEST_CASE("lines are written in order", "[output]") {
  Pipe pipe;
  NonBlockingStreamBuffer buffer(pipe.ends_[1]);
  std::ostream stream(&buffer);
  stream << "one\n" << std::flush << "two\n" << std::flush;
  CHECK(pipe.Read() == "one\ntwo\n");
}

// Guards against a daemon that stops serving because nobody reads its log, and
// against lines that are dropped without being counted.
TEST_CASE("a reader that stops reading does not block the writer", "[output]") {
  Pipe pipe;
  NonBlockingStreamBuffer buffer(pipe.ends_[1], 10000);
  std::ostream stream(&buffer);
  const std::string line(99, 'x');
  for (int i = 0; i < 5000; ++i) {
    stream << line << '\n' << std::flush;
  }
  CHECK(buffer.DroppedLines() > 0);
  std::string text = pipe.Read();
  stream << "later\n" << std::flush;
  text += pipe.Read();
  stream << "later\n" << std::flush;
  text += pipe.Read();
  CHECK(text.find("lines dropped count=") != std::string::npos);
  CHECK(text.find("later\n") != std::string::npos);
}

}  // namespace
}  // namespace clementinerill

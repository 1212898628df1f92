#include <sstream>

#include <boost/log/trivial.hpp>
#include <catch2/catch.hpp>

#include "logging/start_logging.h"

namespace clementinerill {
namespace {

// Guards against a crash on records of libraries whose severity has another
// type: such a record, logged when a link was established, terminated the
// daemon.
TEST_CASE("a record with a severity of another type is written", "[logging]") {
  std::ostringstream stream;
  StartLogging(stream, LogLevel::kInfo);
  BOOST_LOG_TRIVIAL(info) << "library: hello";
  CHECK(stream.str().find("library: hello") != std::string::npos);
}

}  // namespace
}  // namespace clementinerill

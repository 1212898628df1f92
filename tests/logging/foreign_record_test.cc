#include <sstream>

#include <boost/log/trivial.hpp>
#include <catch2/catch.hpp>

#include "logging/start_logging.h"

namespace clementinerill {
namespace {

// Guards against a crash on records of libraries that use another severity
// type: a link that came up stopped the daemon.
TEST_CASE("a record with a foreign severity is written", "[logging]") {
  std::ostringstream stream;
  StartLogging(stream, LogLevel::kInfo);
  BOOST_LOG_TRIVIAL(info) << "library: hello";
  CHECK(stream.str().find("library: hello") != std::string::npos);
}

}  // namespace
}  // namespace clementinerill

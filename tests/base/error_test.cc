#include "base/error.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against error messages that do not tell the operator where to look.
TEST_CASE("an error is formatted with file, line and column", "[error]") {
  const Error error{"port is missing", {"a.yaml", 3, 7}};
  CHECK(Format(error) == "a.yaml:3:7: port is missing");
}

TEST_CASE("an error without a position is formatted as its description",
          "[error]") {
  CHECK(Format(MakeError("port is missing")) == "port is missing");
}

}  // namespace
}  // namespace clementinerill

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/configuration_json.h"
#include "fenced_block.h"

namespace clementinerill {
namespace {

// Guards against a page whose example is refused or leaves out a key.
TEST_CASE("the page shows a complete configuration", "[config]") {
  const std::string text = FencedBlock("configuration.md", "json");
  const auto configuration = ParseConfiguration(text);
  REQUIRE(configuration);
  CHECK(nlohmann::json::parse(text) ==
        nlohmann::json::parse(ToJsonText(*configuration)));
}

}  // namespace
}  // namespace clementinerill

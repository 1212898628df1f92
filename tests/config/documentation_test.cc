#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/configuration_json.h"
#include "fenced_block.h"

namespace clementinerill {
namespace {

// Guards against a documented example that is rejected or omits a key.
TEST_CASE("the documented configuration is valid and complete", "[config]") {
  const std::string text = FencedBlock("configuration.md", "json");
  const auto configuration = ParseConfiguration(text);
  REQUIRE(configuration);
  CHECK(nlohmann::json::parse(text) ==
        nlohmann::json::parse(ToJsonText(*configuration)));
}

}  // namespace
}  // namespace clementinerill

#include <catch2/catch.hpp>

#include "fenced_block.h"
#include "settings/settings_yaml.h"

namespace clementinerill {
namespace {

// Guards against a documented example that differs from the tested one.
TEST_CASE("configuration.md shows the example settings", "[settings]") {
  CHECK(FencedBlock("configuration.md", "yaml") == ExampleSettingsText());
}

}  // namespace
}  // namespace clementinerill

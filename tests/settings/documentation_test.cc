#include <catch2/catch.hpp>

#include "fenced_block.h"
#include "settings/settings_yaml.h"

namespace clementinerill {
namespace {

// Guards against a page that shows another file than the one that was tested.
TEST_CASE("the page shows the example settings", "[settings]") {
  CHECK(FencedBlock("configuration.md", "yaml") == ExampleSettingsText());
}

}  // namespace
}  // namespace clementinerill

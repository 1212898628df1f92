#include <catch2/catch.hpp>

#include "fakes/platform/lagging_list.h"
#include "fakes/platform/object_store.h"

namespace clementinerill {
namespace {

// Guards against a fake VM list that shows changes immediately: the VM list of
// the platform lags behind.
TEST_CASE("the fake VM list shows changes after the configured lag", "[fake]") {
  LaggingList list;
  const Instant start{};
  list.SetLag(std::chrono::milliseconds(100));
  list.Set("[1]", start);
  list.Set("[2]", start + std::chrono::milliseconds(50));
  CHECK(list.Get(start) == "[]");
  CHECK(list.Get(start + std::chrono::milliseconds(120)) == "[1]");
  CHECK(list.Get(start + std::chrono::milliseconds(150)) == "[2]");
}

// Guards against a fake store that counts versions separately for each object.
TEST_CASE("fake objects share one version counter", "[fake]") {
  ObjectStore store;
  CHECK(store.Put("a", "1", {}).version_ == 1);
  CHECK(store.Put("b", "1", {0}).version_ == 2);
  const PutResult refused = store.Put("a", "2", {2});
  CHECK_FALSE(refused.accepted_);
  CHECK(refused.version_ == 1);
}

}  // namespace
}  // namespace clementinerill

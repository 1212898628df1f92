#include "gateway/kind_watch.h"

#include <chrono>
#include <stdexcept>

#include <catch2/catch.hpp>

#include "gateway/fake_store.h"
#include "http/test_server.h"
#include "platform/store_codec.h"

namespace clementinerill::gateway {
namespace {

// Guards against a copy that stays as it is for good: an exception has ended
// the application of changes, and the list that is to replace the copy is
// older.
TEST_CASE("a doubtful copy is listed until a list is recent enough",
          "[gateway][exception]") {
  const char* const kind = "servers";
  http::EventLoop loop;
  FakeStore store(loop);
  store.Put(kind, "a", {{"service", "hold"}});
  const StoreCodec codec = platform_adapter::MakeStoreCodec();
  GatewayMetrics metrics;
  mirror::KindMirror mirror;
  bool throws = false;
  int full_lists = 0;
  KindWatch watch(
      loop, {"127.0.0.1", store.Port()}, codec, metrics,
      {kind, std::chrono::milliseconds(500)}, mirror,
      [&](const mirror::KindChanges& changes) {
        full_lists += changes.is_full_list_ ? 1 : 0;
        if (throws) {
          throws = false;
          throw std::runtime_error("thrown by the test");
        }
      },
      [](int64_t /*era*/) {});
  watch.SetActive(true);
  REQUIRE(http::RunUntil(loop, [&] { return full_lists == 1; }));
  store.Copy();
  store.lists_copy_ = true;
  throws = true;
  store.Put(kind, "b", {{"service", "hold"}});
  const int lists = store.request_counts_["GET servers"];
  REQUIRE(http::RunUntil(
      loop, [&] { return store.request_counts_["GET servers"] >= lists + 3; }));
  CHECK(mirror::KnownRevision(mirror) == 0);
  CHECK(full_lists == 1);
  store.lists_copy_ = false;
  CHECK(http::RunUntil(loop, [&] { return full_lists == 2; }));
  CHECK(mirror::KnownRevision(mirror) > 0);
  CHECK(mirror.objects_.count("b") == 1);
}

}  // namespace
}  // namespace clementinerill::gateway

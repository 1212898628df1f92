#include "platform/duty_codec.h"

#include <string>

#include <catch2/catch.hpp>

#include "platform/store_codec.h"

namespace clementinerill::platform_adapter {
namespace {

using nlohmann::json;

duty::Record ExampleRecord() {
  return {"vm-a",
          "vm-a.1f",
          (int64_t{1} << 53) - 1,
          7,
          12,
          std::chrono::milliseconds(3000),
          "{\"window\":1}"};
}

mirror::StoredObject ObjectOf(const std::string& text) {
  mirror::StoredObject object;
  object.content_ = json::parse(text)["spec"];
  return object;
}

TEST_CASE("a duty's object is encoded and decoded", "[duty]") {
  const std::string text = EncodeDuty("usage_report", ExampleRecord(), 9);
  CHECK(json::parse(text)["meta"] ==
        json({{"name", "usage_report"}, {"rev", 9}}));
  const auto decoded = DecodeDuty(ObjectOf(text));
  REQUIRE(decoded);
  CHECK(*decoded == ExampleRecord());
}

// Guards against a creation that replaces an object.
TEST_CASE("the creation of a duty's object names no revision", "[duty]") {
  const std::string text =
      EncodeDuty("usage_report", ExampleRecord(), std::nullopt);
  CHECK(json::parse(text)["meta"] == json({{"name", "usage_report"}}));
}

// Guards against a token from an object that another writer has changed.
TEST_CASE("a duty's object with an unusable field is rejected", "[duty]") {
  const json spec =
      json::parse(EncodeDuty("usage_report", ExampleRecord(), 9))["spec"];
  for (const char* field :
       {"holder", "process", "token", "era", "sequence", "lease_ms"}) {
    for (const json& value : {json(nullptr), json(-1), json::array()}) {
      mirror::StoredObject object;
      object.content_ = spec;
      object.content_[field] = value;
      CHECK_FALSE(DecodeDuty(object));
    }
  }
  mirror::StoredObject object;
  object.content_ = spec;
  object.content_["token"] = int64_t{1} << 53;
  CHECK_FALSE(DecodeDuty(object));
}

TEST_CASE("the revision of a written object is decoded", "[duty]") {
  CHECK(DecodeWrittenRevision(R"({"meta":{"name":"a","rev":12}})") == 12);
  CHECK(DecodeWrittenRevision(R"({"meta":{"name":"a"}})") == 0);
  CHECK(DecodeWrittenRevision(R"({"meta":{"rev":"x"}})") == 0);
  CHECK(DecodeWrittenRevision("null") == 0);
  CHECK(DecodeWrittenRevision("") == 0);
}

}  // namespace
}  // namespace clementinerill::platform_adapter

#include "codec/json_slices.h"

#include <string>

#include <catch2/catch.hpp>

#include "property.h"

namespace clementinerill {
namespace {

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

}  // namespace

TEST_CASE("an array is split at its own commas only", "[json]") {
  const auto slices = SplitJsonArray(R"( [1, {"a": [2, 3]}, "x,]\"y" , [] ] )");
  REQUIRE(slices);
  REQUIRE(slices->size() == 4);
  CHECK((*slices)[0].text_ == "1");
  CHECK((*slices)[0].depth_ == 0);
  CHECK((*slices)[1].text_ == R"({"a": [2, 3]})");
  CHECK((*slices)[1].depth_ == 2);
  CHECK((*slices)[2].text_ == R"("x,]\"y")");
  CHECK((*slices)[3].depth_ == 1);
  CHECK(SplitJsonArray("[]")->empty());
  CHECK(SplitJsonArray(" [ \n ] ")->empty());
}

TEST_CASE("an object is split into its members", "[json]") {
  const auto members =
      SplitJsonObject(R"({"a" : 1, "b\u0041": {"c": [1]}, "a": 2})");
  REQUIRE(members);
  REQUIRE(members->size() == 3);
  CHECK((*members)[1].key_ == "bA");
  CHECK((*members)[1].value_.depth_ == 2);
  REQUIRE(FindMember(*members, "a"));
  CHECK(FindMember(*members, "a")->text_ == "2");
  CHECK(FindMember(*members, "x") == nullptr);
}

TEST_CASE("text that is not a container with closed brackets is an error",
          "[json]") {
  for (const char* text : {"", "[", "]", "[1", "1]", "{}", "[\"a]", "[[]",
                           "[]]", "[1}]", "[\"\\\"]"}) {
    INFO(text);
    CHECK_FALSE(SplitJsonArray(text));
  }
  for (const char* text : {"", "{", "{1:2}", "{\"a\"}", "{\"a\" 1}",
                           "{\"\\x\":1}", "{\"a\":1,}", "[]"}) {
    INFO(text);
    CHECK_FALSE(SplitJsonObject(text));
  }
}

// Guards against the recursion of tree copies, which exhausted the stack.
TEST_CASE("a value is parsed within its bounds only", "[json]") {
  const auto parse = [](const std::string& element, JsonBounds bounds) {
    const std::string text = "[" + element + "]";
    return ParseJson(SplitJsonArray(text)->front(), bounds).has_value();
  };
  CHECK(parse(Nested(32), {100, 32}));
  CHECK_FALSE(parse(Nested(33), {100, 32}));
  CHECK_FALSE(parse(Nested(300000), {}));
  CHECK(parse("\"" + std::string(98, 'a') + "\"", {100, 32}));
  CHECK_FALSE(parse("\"" + std::string(99, 'a') + "\"", {100, 32}));
  CHECK_FALSE(parse("1e999", {}));
  CHECK_FALSE(parse("tru", {}));
  CHECK_FALSE(parse("\"\xff\"", {}));
}

// Guards against an odd element that hides a good one, and against input that
// ends the process.
TEST_CASE("good elements survive mutations of their neighbours", "[json]") {
  CheckProperty(20261205, 2000, [] {
    std::string odd = R"({"meta":{"name":"x"},"spec":{"a":[1,2e3,"t"]}})";
    const auto mutations = *rc::gen::inRange(1, 4);
    for (int i = 0; i < mutations; ++i) {
      // Quotes and brackets are left alone: without them elements cannot be
      // told apart.
      const auto at = *rc::gen::inRange<size_t>(0, odd.size());
      const char byte = *rc::gen::elementOf(std::string("e9.-tz\x80\xff \x01"));
      if (std::string("\"[]{},\\").find(odd[at]) == std::string::npos) {
        odd[at] = byte;
      }
    }
    const std::string page = R"([{"good":1},)" + odd + R"(,{"good":2}])";
    const auto slices = SplitJsonArray(page);
    RC_ASSERT(slices.has_value());
    RC_ASSERT(slices->size() == 3U);
    RC_ASSERT(ParseJson(slices->front(), {}).has_value());
    RC_ASSERT(ParseJson(slices->back(), {}).has_value());
    (void)ParseJson((*slices)[1], {});
  });
}

TEST_CASE("arbitrary bytes never end the process", "[json]") {
  CheckProperty(20261206, 2000, [] {
    const auto text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("[]{},:\"\\a1e \xff")));
    if (const auto slices = SplitJsonArray("[" + text + "]")) {
      for (const JsonSlice& slice : *slices) {
        (void)ParseJson(slice, {});
        (void)SplitJsonObject(slice.text_);
      }
    }
  });
}

}  // namespace clementinerill

#include "codec/cbor_structure.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "property.h"

namespace clementinerill {
namespace {

using nlohmann::json;

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

std::string FromBytes(const std::vector<int>& bytes) {
  return {bytes.begin(), bytes.end()};
}

json Example() {
  return {{"kinds", {{"servers", {{"revision", 70000}, {"age_ms", -1.5}}}}},
          {"list", {1, -2, 300, 1e300, "text", true, nullptr}},
          {"long", std::string(300, 'a')}};
}

}  // namespace

TEST_CASE("encoded documents are within their depth", "[cbor]") {
  CHECK(IsBoundedCbor(ToCbor(Example()), 3));
  CHECK_FALSE(IsBoundedCbor(ToCbor(Example()), 2));
  CHECK(IsBoundedCbor(ToCbor(1), 0));
  CHECK_FALSE(IsBoundedCbor(ToCbor(json::array()), 0));
}

// Guards against stack overflows and exceptions in the CBOR library.
TEST_CASE("bytes that would end the process are refused", "[cbor]") {
  constexpr size_t kMany = 1000000;
  CHECK_FALSE(IsBoundedCbor(std::string(kMany, '\x81'), 32));
  // Nested strings of indefinite length, and tags.
  CHECK_FALSE(IsBoundedCbor(std::string(kMany, '\x7f'), 32));
  CHECK_FALSE(IsBoundedCbor(std::string(kMany, '\x5f'), 32));
  CHECK_FALSE(IsBoundedCbor(std::string(kMany, '\xc0'), 32));
  CHECK_FALSE(IsBoundedCbor(std::string(kMany, '\x9f'), 32));
  // An array of 2^63 elements, and a map of 2^64 - 1 entries.
  CHECK_FALSE(IsBoundedCbor(FromBytes({0x9b, 0x80, 0, 0, 0, 0, 0, 0, 0}), 32));
  CHECK_FALSE(IsBoundedCbor(
      FromBytes({0xbb, 255, 255, 255, 255, 255, 255, 255, 255}), 32));
  // A string that is longer than the rest of the message.
  CHECK_FALSE(IsBoundedCbor(FromBytes({0x63, 'a', 'b'}), 32));
  CHECK_FALSE(IsBoundedCbor("", 32));
  // Two documents.
  CHECK_FALSE(IsBoundedCbor(FromBytes({0x01, 0x02}), 32));
}

TEST_CASE("accepted bytes are decoded without ending the process", "[cbor]") {
  CheckProperty(20261207, 3000, [] {
    std::string bytes = ToCbor(Example());
    const auto mutations = *rc::gen::inRange(1, 5);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    if (IsBoundedCbor(bytes, 32)) {
      const json value = json::from_cbor(bytes, true, false);
      RC_CLASSIFY(value.is_discarded());
    }
  });
}

}  // namespace clementinerill

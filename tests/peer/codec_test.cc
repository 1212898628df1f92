#include "peer/codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peer/message_kind.h"

namespace clementinerill {
namespace {

std::vector<Message> MakeOneMessageOfEachKind() {
  const Advisory advisory{AdvisoryKind::kReplicaCold, "a-1", 7, true, "d-2"};
  Heartbeat heartbeat;
  heartbeat.grants_ = ~uint64_t{0};
  heartbeat.witness_ = true;
  return {Hello{"d-1", "127.0.0.1", 65535, 0xffffffff},
          heartbeat,
          Advisories{{advisory, advisory}},
          ConfigRequest{3},
          ConfigDocument{4, "{}"},
          Forward{1, "r-1", "search", "{}", "key", 250, 1},
          ForwardAnswer{1, 503, "refused", true},
          ForwardCancel{1},
          Report{"p", 9, 1000, {{"search", "v2", 10, 1, {0, 9, 1}}}}};
}

std::string Cbor(const char* json_text) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json::parse(json_text), bytes);
  return bytes;
}

// Guards against fields that are lost or swapped by the codec.
TEST_CASE("every message kind round-trips through the codec", "[codec]") {
  const auto messages = MakeOneMessageOfEachKind();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (size_t i = 0; i < messages.size(); ++i) {
    INFO(NameOf(kMessageKindNames, KindOf(messages[i])));
    CHECK(messages[i].index() == i);
    const std::string bytes = EncodeMessage(messages[i]);
    const auto decoded = DecodeMessage(bytes);
    REQUIRE(decoded);
    CHECK(EncodeMessage(*decoded) == bytes);
  }
  const auto decoded = DecodeMessage(EncodeMessage(messages[5]));
  CHECK(std::get<Forward>(*decoded).idempotency_key_ == "key");
  CHECK(std::get<Forward>(*decoded).deadline_ms_ == 250);
}

// Guards against malformed input being accepted as a message.
TEST_CASE("malformed messages are rejected with an error", "[codec]") {
  CHECK(Format(DecodeMessage("").error()) ==
        "message is not CBOR or is nested too deeply");
  CHECK(Format(DecodeMessage(Cbor("[1]")).error()) ==
        "message must be a map with 't' and 'b'");
  CHECK(Format(DecodeMessage(Cbor(R"({"t":99,"b":[]})")).error()) ==
        "message kind is unknown");
  CHECK(Format(DecodeMessage(Cbor(R"({"t":7,"b":[]})")).error()) ==
        "forward_cancel: field 'id' must be present");
  CHECK(Format(DecodeMessage(Cbor(R"({"t":7,"b":[-1]})")).error()) ==
        "forward_cancel: field 'id' must be an unsigned number in range");
  CHECK(Format(DecodeMessage(Cbor(R"({"t":7,"b":[1,2]})")).error()) ==
        "forward_cancel: there are more fields than expected");
  CHECK(Format(DecodeMessage(Cbor(R"({"t":2,"b":[[["x"]]]})")).error()) ==
        "advisories: in 'entries': field 'kind' must be a known kind");
  CHECK_FALSE(DecodeMessage(Cbor(R"({"t":0,"b":["d","a",65536,1]})")));
}

// Guards against a stack overflow in the recursive decoder.
TEST_CASE("deeply nested input is rejected", "[codec]") {
  CHECK_FALSE(DecodeMessage(std::string(kMaxMessageBytes, '\x81')));
  CHECK_FALSE(DecodeMessage(std::string(kMaxMessageBytes, '\xbf')));
}

// Guards against crashes of the decoder on truncated or corrupted messages.
TEST_CASE("truncated and corrupted messages do not crash the decoder",
          "[codec]") {
  for (const Message& message : MakeOneMessageOfEachKind()) {
    const std::string bytes = EncodeMessage(message);
    for (size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(DecodeMessage(bytes.substr(0, size)));
    }
    CHECK(rc::check([&bytes] {
      std::string corrupted = bytes;
      const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
      corrupted[position] = *rc::gen::arbitrary<char>();
      const auto decoded = DecodeMessage(corrupted);
      RC_ASSERT(decoded || !decoded.error().description_.empty());
    }));
  }
}

}  // namespace
}  // namespace clementinerill

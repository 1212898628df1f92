#include "peer/codec.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "codec/cbor_structure.h"
#include "peer/field_reader.h"
#include "peer/field_writer.h"
#include "peer/message_fields.h"
#include "peer/message_kind.h"

namespace clementinerill {
namespace {

using nlohmann::json;

constexpr const char* kKindKey = "t";
constexpr const char* kBodyKey = "b";

template <size_t Index>
Result<Message> DecodeBody(const json& body) {
  std::variant_alternative_t<Index, Message> value;
  FieldReader reader(body);
  VisitFields(value, reader);
  const std::string error = reader.Finish();
  if (!error.empty()) {
    const auto kind =
        NameOf(kMessageKindNames, static_cast<MessageKind>(Index));
    return Fail(std::string(kind) + ": " + error);
  }
  return Message(std::move(value));
}

using BodyDecoder = Result<Message> (*)(const json&);

template <size_t... Indexes>
constexpr std::array<BodyDecoder, sizeof...(Indexes)> MakeBodyDecoders(
    std::index_sequence<Indexes...> /*indexes*/) {
  return {&DecodeBody<Indexes>...};
}

constexpr auto kBodyDecoders =
    MakeBodyDecoders(std::make_index_sequence<std::variant_size_v<Message>>());

}  // namespace

std::string EncodeMessage(const Message& message) {
  FieldWriter writer;
  std::visit([&writer](const auto& value) { VisitFields(value, writer); },
             message);
  json envelope;
  envelope[kKindKey] = message.index();
  envelope[kBodyKey] = writer.TakeBody();
  std::string bytes;
  json::to_cbor(envelope, bytes);
  return bytes;
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return Fail("message is larger than the limit");
  }
  if (!IsBoundedCbor(bytes, kMaxNestingDepth)) {
    return Fail("message is not CBOR or is nested too deeply");
  }
  const json envelope =
      json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!envelope.is_object() || !envelope.contains(kKindKey) ||
      !envelope.contains(kBodyKey)) {
    return Fail("message must be a map with 't' and 'b'");
  }
  const json& kind = envelope[kKindKey];
  if (!kind.is_number_unsigned() ||
      kind.get<uint64_t>() >= kBodyDecoders.size()) {
    return Fail("message kind is unknown");
  }
  const json& body = envelope[kBodyKey];
  if (!body.is_array()) {
    return Fail("message body must be an array");
  }
  return kBodyDecoders[kind.get<size_t>()](body);
}

}  // namespace clementinerill

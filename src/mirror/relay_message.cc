#include "mirror/relay_message.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "codec/codec.h"

namespace clementinerill::mirror {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::string ToCbor(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

// Nesting of a message around the content of an object.
constexpr size_t kEnvelopeDepth = 5;
// Longest time that a message can name. Longer ones would overflow when added
// to a time.
constexpr milliseconds kMaxTime = std::chrono::hours(24);

milliseconds DecodeTime(const json& value) {
  return std::clamp(milliseconds(value.get<int64_t>()), milliseconds(0),
                    kMaxTime);
}

// Largest counts that a message can name, so that sums stay in range.
constexpr int64_t kMaxDaemons = 1'000'000;
constexpr int64_t kMaxAttempts = 1'000'000'000'000;

int64_t DecodeCount(const json& value) {
  return std::max<int64_t>(value.get<int64_t>(), 0);
}

json EncodeObject(const StoredObject& object) {
  json encoded = {{"content", object.content_},
                  {"status", object.status_},
                  {"revision", object.revision_},
                  {"created", object.created_}};
  if (!object.decode_error_.empty()) {
    encoded["error"] = object.decode_error_;
  }
  return encoded;
}

StoredObject DecodeObject(const std::string& name, const json& object) {
  return {name,
          object.at("content"),
          object.at("status"),
          object.at("revision").get<int64_t>(),
          object.value("error", std::string()),
          object.value("created", int64_t{0})};
}

json EncodeKind(const RelayedKind& kind) {
  json present = json::object();
  for (const StoredObject& object : kind.changes_.upserted_) {
    present[object.name_] = EncodeObject(object);
  }
  return {{"era", kind.changes_.era_},
          {"revision", kind.changes_.revision_},
          {"complete", kind.changes_.is_full_list_},
          {"age_ms", kind.age_.count()},
          {"present", std::move(present)},
          {"removed", kind.changes_.removed_}};
}

RelayedKind DecodeKind(const json& message) {
  RelayedKind kind;
  // Daemons of the previous version name no era.
  kind.changes_.era_ = message.value("era", int64_t{0});
  kind.changes_.revision_ = message.at("revision").get<int64_t>();
  kind.changes_.is_full_list_ = message.at("complete").get<bool>();
  kind.age_ = DecodeTime(message.at("age_ms"));
  for (const auto& [name, object] : message.at("present").items()) {
    kind.changes_.upserted_.push_back(DecodeObject(name, object));
  }
  kind.changes_.removed_ =
      message.at("removed").get<std::vector<std::string>>();
  return kind;
}

std::vector<int64_t> DecodeCountList(const json& list) {
  std::vector<int64_t> counts;
  for (const json& count : list) {
    counts.push_back(std::min(DecodeCount(count), kMaxAttempts));
  }
  return counts;
}

std::map<std::string, std::vector<int64_t>> DecodeCounts(const json& message) {
  std::map<std::string, std::vector<int64_t>> counts;
  for (const auto& [route, list] : message.items()) {
    counts[route] = DecodeCountList(list);
  }
  return counts;
}

json EncodeEvidence(const RolloutEvidence& evidence) {
  return {{"service", evidence.service_},
          {"target_version", evidence.target_version_},
          {"length_ms", evidence.length_.count()},
          {"age_ms", evidence.age_.count()},
          {"created", evidence.created_},
          {"target_attempts", evidence.target_attempts_},
          {"present_attempts", evidence.current_attempts_},
          {"routes", evidence.routes_},
          {"latencies", evidence.latencies_},
          {"bad", evidence.is_bad_},
          {"daemons", evidence.daemons_},
          {"trial_attempts", evidence.trial_attempts_},
          {"trial", evidence.trial_},
          // Daemons of the previous version require both.
          {"target_bad", 0},
          {"present_bad", 0}};
}

RolloutEvidence DecodeEvidence(const json& message) {
  RolloutEvidence evidence;
  evidence.service_ = message.at("service").get<std::string>();
  evidence.target_version_ = message.at("target_version").get<std::string>();
  evidence.length_ = DecodeTime(message.at("length_ms"));
  evidence.target_attempts_ = DecodeCount(message.at("target_attempts"));
  evidence.current_attempts_ = DecodeCount(message.at("present_attempts"));
  // Daemons of the previous version do not send the others.
  if (message.contains("routes")) {
    evidence.age_ = DecodeTime(message.at("age_ms"));
    evidence.created_ = DecodeCount(message.at("created"));
    evidence.is_bad_ = message.at("bad").get<bool>();
    evidence.daemons_ = static_cast<int>(
        std::min(DecodeCount(message.at("daemons")), kMaxDaemons));
    evidence.routes_ = DecodeCounts(message.at("routes"));
    evidence.latencies_ = DecodeCounts(message.at("latencies"));
  }
  if (message.contains("trial")) {
    evidence.trial_attempts_ = DecodeCount(message.at("trial_attempts"));
    evidence.trial_ = DecodeCountList(message.at("trial"));
  }
  return evidence;
}

json EncodeEvidenceList(const std::vector<RolloutEvidence>& evidence) {
  json list = json::array();
  for (const RolloutEvidence& entry : evidence) {
    list.push_back(EncodeEvidence(entry));
  }
  return list;
}

std::vector<RolloutEvidence> DecodeEvidenceList(const json& list) {
  std::vector<RolloutEvidence> evidence;
  for (const json& entry : list) {
    evidence.push_back(DecodeEvidence(entry));
  }
  return evidence;
}

// The most reports of replicas that a message may have.
constexpr size_t kMaxCapacities = 1024;

// The field is absent without reports, so that messages do not change where no
// replica reports its pace. Each report is an array, because there are many.
void EncodeCapacities(const std::vector<CapacityReport>& capacities,
                      json& message) {
  if (capacities.empty()) {
    return;
  }
  json& list = message["capacities"] = json::array();
  for (const CapacityReport& report : capacities) {
    list.push_back({report.replica_, report.log_slowness_,
                    report.accepted_share_, report.observations_,
                    report.age_.count()});
  }
}

std::vector<CapacityReport> DecodeCapacities(const json& message) {
  std::vector<CapacityReport> capacities;
  const auto list = message.find("capacities");
  if (list == message.end()) {
    return capacities;
  }
  for (const json& report : *list) {
    if (capacities.size() >= kMaxCapacities) {
      break;
    }
    capacities.push_back({report.at(0).get<uint32_t>(),
                          report.at(1).get<int64_t>(),
                          report.at(2).get<int64_t>(),
                          DecodeCount(report.at(3)), DecodeTime(report.at(4))});
  }
  return capacities;
}

// Parses CBOR and applies `decode`. Exceptions of the JSON library become
// errors.
template <typename T, typename Decode>
Result<T> DecodeMessage(const std::string& body, Decode decode) {
  if (!IsBoundedCbor(body, kEnvelopeDepth + JsonBounds{}.max_depth_)) {
    return Fail("relay message is not CBOR within the nesting limit");
  }
  const json message = json::from_cbor(body, true, false);
  if (message.is_discarded()) {
    return Fail("relay message is not valid CBOR");
  }
  try {
    return decode(message);
  } catch (const json::exception& error) {
    return Fail(std::string("relay message has a missing or invalid field: ") +
                error.what());
  }
}

}  // namespace

std::string Encode(const RelayRequest& request) {
  json message = {{"wait_ms", request.wait_.count()},
                  {"revisions", request.revisions_},
                  {"eras", request.eras_},
                  {"daemon", request.daemon_},
                  {"evidence", EncodeEvidenceList(request.evidence_)}};
  EncodeCapacities(request.capacities_, message);
  return ToCbor(message);
}

std::string Encode(const RelayReply& reply) {
  json kinds = json::object();
  for (const auto& [name, kind] : reply.kinds_) {
    kinds[name] = EncodeKind(kind);
  }
  json message = {{"kinds", std::move(kinds)},
                  {"evidence", EncodeEvidenceList(reply.evidence_)}};
  EncodeCapacities(reply.capacities_, message);
  return ToCbor(message);
}

std::string Encode(const EvidenceReport& report) {
  json message = {{"process", report.process_},
                  {"evidence", EncodeEvidenceList(report.evidence_)}};
  EncodeCapacities(report.capacities_, message);
  return ToCbor(message);
}

Result<RelayRequest> DecodeRelayRequest(const std::string& body) {
  return DecodeMessage<RelayRequest>(body, [](const json& message) {
    RelayRequest request;
    request.wait_ = DecodeTime(message.at("wait_ms"));
    request.revisions_ =
        message.at("revisions").get<std::map<std::string, int64_t>>();
    if (message.contains("eras")) {
      request.eras_ = message.at("eras").get<std::map<std::string, int64_t>>();
    }
    request.daemon_ = message.at("daemon").get<std::string>();
    request.evidence_ = DecodeEvidenceList(message.at("evidence"));
    request.capacities_ = DecodeCapacities(message);
    return request;
  });
}

Result<RelayReply> DecodeRelayReply(const std::string& body) {
  return DecodeMessage<RelayReply>(body, [](const json& message) {
    RelayReply reply;
    for (const auto& [name, kind] : message.at("kinds").items()) {
      reply.kinds_[name] = DecodeKind(kind);
    }
    if (message.contains("evidence")) {
      reply.evidence_ = DecodeEvidenceList(message.at("evidence"));
    }
    reply.capacities_ = DecodeCapacities(message);
    return reply;
  });
}

Result<EvidenceReport> DecodeEvidenceReport(const std::string& body) {
  return DecodeMessage<EvidenceReport>(body, [](const json& message) {
    EvidenceReport report;
    report.process_ = message.at("process").get<std::string>();
    report.evidence_ = DecodeEvidenceList(message.at("evidence"));
    report.capacities_ = DecodeCapacities(message);
    return report;
  });
}

}  // namespace clementinerill::mirror

#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "mirror/mirror.h"
#include "property.h"

namespace clementinerill::mirror {
namespace {

std::vector<DaemonRecord> Daemons(int count) {
  std::vector<DaemonRecord> daemons;
  for (int i = 0; i < count; ++i) {
    daemons.push_back({"vm-" + std::to_string(i), i % 2 == 0 ? "a" : "b",
                       "10.0.0.1", 7000, i < 6 ? 500 : 120});
  }
  return daemons;
}

// Guards against a failure domain in which no daemon, or every daemon, watches
// the store.
TEST_CASE("one daemon of each failure domain watches the store", "[relay]") {
  const auto daemons = Daemons(40);
  std::map<std::string, std::map<RelayRole, int>> roles;
  for (const DaemonRecord& daemon : daemons) {
    const RelayPlan plan = PlanRelays(daemons, daemon.name_);
    ++roles[daemon.failure_domain_][plan.role_];
    if (plan.role_ != RelayRole::kReader) {
      CHECK(daemon.capacity_ == 500);
    }
    for (const DaemonRecord& relay : plan.relays_) {
      CHECK(relay.failure_domain_ == daemon.failure_domain_);
    }
  }
  const std::map<RelayRole, int> expected = {{RelayRole::kWatcher, 1},
                                             {RelayRole::kStandby, 1},
                                             {RelayRole::kReader, 18}};
  CHECK(roles["a"] == expected);
  CHECK(roles["b"] == expected);
}

// Guards against readers without a relay when the watcher fails, and against a
// standby that depends on a reader.
TEST_CASE("readers follow the watcher, then the standby", "[relay]") {
  const auto daemons = Daemons(40);
  std::string watcher;
  std::string standby;
  for (const DaemonRecord& daemon : daemons) {
    const RelayRole role = PlanRelays(daemons, daemon.name_).role_;
    if (daemon.failure_domain_ == "a" && role == RelayRole::kWatcher) {
      watcher = daemon.name_;
    } else if (daemon.failure_domain_ == "a" && role == RelayRole::kStandby) {
      standby = daemon.name_;
    }
  }
  const RelayPlan of_standby = PlanRelays(daemons, standby);
  REQUIRE(of_standby.relays_.size() == 1);
  CHECK(of_standby.relays_[0].name_ == watcher);
  const RelayPlan of_reader = PlanRelays(daemons, "vm-38");
  REQUIRE(of_reader.relays_.size() == 2);
  CHECK(of_reader.relays_[0].name_ == watcher);
  CHECK(of_reader.relays_[1].name_ == standby);
}

// Guards against a new daemon that waits for relays it does not know.
TEST_CASE("an unregistered daemon watches the store", "[relay]") {
  CHECK(PlanRelays(Daemons(40), "new").role_ == RelayRole::kWatcher);
  CHECK(PlanRelays({}, "new").role_ == RelayRole::kWatcher);
}

TEST_CASE("relay messages are decoded as encoded", "[relay]") {
  RelayRequest request{std::chrono::milliseconds(480),
                       {{"config", 12}},
                       {{"config", 2}},
                       "vm-1",
                       {{"docket",
                         "v2",
                         std::chrono::seconds(20),
                         std::chrono::seconds(7),
                         41,
                         9,
                         200,
                         {{"case", {1, 0, 20, 4}}},
                         {{"case", {0, 3}}},
                         true,
                         3,
                         7,
                         {6, 2, 1, 0}}}};
  const auto decoded = DecodeRelayRequest(Encode(request));
  REQUIRE(decoded);
  CHECK(decoded->wait_ == request.wait_);
  CHECK(decoded->revisions_ == request.revisions_);
  CHECK(decoded->eras_ == request.eras_);
  CHECK(decoded->daemon_ == "vm-1");
  REQUIRE(decoded->evidence_.size() == 1);
  CHECK(decoded->evidence_[0].target_version_ == "v2");
  CHECK(decoded->evidence_[0].length_ == std::chrono::seconds(20));
  CHECK(decoded->evidence_[0].age_ == std::chrono::seconds(7));
  CHECK(decoded->evidence_[0].created_ == 41);
  CHECK(decoded->evidence_[0].target_attempts_ == 9);
  CHECK(decoded->evidence_[0].current_attempts_ == 200);
  CHECK(decoded->evidence_[0].routes_.at("case") ==
        std::vector<int64_t>{1, 0, 20, 4});
  CHECK(decoded->evidence_[0].latencies_.at("case") ==
        std::vector<int64_t>{0, 3});
  CHECK(decoded->evidence_[0].is_bad_);
  CHECK(decoded->evidence_[0].daemons_ == 3);
  CHECK(decoded->evidence_[0].trial_attempts_ == 7);
  CHECK(decoded->evidence_[0].trial_ == std::vector<int64_t>{6, 2, 1, 0});
  RelayReply reply;
  reply.evidence_ = request.evidence_;
  reply.kinds_["config"] = {{7, true, {{"main", {{"version", 3}}}}, {}},
                            std::chrono::milliseconds(15)};
  reply.kinds_["config"].changes_.era_ = 2;
  const auto decoded_reply = DecodeRelayReply(Encode(reply));
  REQUIRE(decoded_reply);
  const RelayedKind& kind = decoded_reply->kinds_.at("config");
  CHECK(kind.age_ == std::chrono::milliseconds(15));
  CHECK(kind.changes_.is_full_list_);
  CHECK(kind.changes_.era_ == 2);
  CHECK(kind.changes_.upserted_[0].content_["version"] == 3);
  CHECK(decoded_reply->evidence_.size() == 1);
  const auto report =
      DecodeEvidenceReport(Encode(EvidenceReport{"vm-1", request.evidence_}));
  REQUIRE(report);
  CHECK(report->process_ == "vm-1");
  CHECK(report->evidence_.size() == 1);
}

// Guards against fields that are lost, and against messages that change for
// deployments whose replicas do not report their pace.
TEST_CASE("messages carry what was learned of replicas", "[relay]") {
  const CapacityReport learned{4000000000U, -223, 750, 60,
                               std::chrono::milliseconds(1500)};
  RelayRequest request;
  RelayReply reply;
  EvidenceReport report;
  for (const std::string& message :
       {Encode(request), Encode(reply), Encode(report)}) {
    CHECK(message.find("capacities") == std::string::npos);
  }
  request.capacities_ = reply.capacities_ = report.capacities_ = {learned};
  const auto decoded_request = DecodeRelayRequest(Encode(request));
  const auto decoded_reply = DecodeRelayReply(Encode(reply));
  const auto decoded_report = DecodeEvidenceReport(Encode(report));
  REQUIRE(decoded_request);
  REQUIRE(decoded_reply);
  REQUIRE(decoded_report);
  for (const auto& decoded :
       {decoded_request->capacities_, decoded_reply->capacities_,
        decoded_report->capacities_}) {
    REQUIRE(decoded.size() == 1);
    CHECK(decoded[0].replica_ == 4000000000U);
    CHECK(decoded[0].log_slowness_ == -223);
    CHECK(decoded[0].accepted_share_ == 750);
    CHECK(decoded[0].observations_ == 60);
    CHECK(decoded[0].age_ == std::chrono::milliseconds(1500));
  }
  request.capacities_.assign(5000, learned);
  CHECK(DecodeRelayRequest(Encode(request))->capacities_.size() == 1024);
}

// Guards against a malformed message that crashes the process.
TEST_CASE("malformed relay messages are rejected", "[relay]") {
  CHECK_FALSE(DecodeRelayReply("not cbor"));
  CHECK_FALSE(DecodeRelayReply(""));
  CHECK_FALSE(DecodeRelayRequest(Encode(RelayReply{})));
  constexpr size_t kMany = 300000;
  for (const char byte : {'\x81', '\x9f', '\x7f', '\x5f', '\xc0'}) {
    CHECK_FALSE(DecodeRelayReply(std::string(kMany, byte)));
    CHECK_FALSE(DecodeRelayRequest(std::string(kMany, byte)));
  }
  // An array of 2^63 elements.
  CHECK_FALSE(DecodeRelayReply(std::string("\x9b\x80\0\0\0\0\0\0\0", 9)));
}

// Guards against a reader that takes an object which the relay could not decode
// for a valid one.
TEST_CASE("an object that cannot be decoded is relayed as such", "[relay]") {
  StoredObject odd{"odd", nullptr};
  odd.decode_error_ = "spec is not valid JSON";
  RelayReply reply;
  reply.kinds_["servers"] = {{7, false, {odd, {"good", 1}}, {}}, {}};
  const auto decoded = DecodeRelayReply(Encode(reply));
  REQUIRE(decoded);
  const auto& objects = decoded->kinds_.at("servers").changes_.upserted_;
  REQUIRE(objects.size() == 2);
  CHECK(objects[0].decode_error_.empty());
  CHECK(objects[1].decode_error_ == odd.decode_error_);
}

// Guards against times that overflow when they are added to the present.
TEST_CASE("times out of range are limited", "[relay]") {
  RelayRequest request;
  request.wait_ = std::chrono::milliseconds::max();
  CHECK(DecodeRelayRequest(Encode(request))->wait_ == std::chrono::hours(24));
  RelayReply reply;
  reply.kinds_["config"].age_ = std::chrono::milliseconds(-5);
  CHECK(DecodeRelayReply(Encode(reply))->kinds_.at("config").age_ ==
        std::chrono::milliseconds(0));
}

// Guards against a faulty daemon that ends others by bytes of another message.
TEST_CASE("mutated relay messages are decoded or rejected", "[relay][fuzz]") {
  RolloutEvidence evidence;
  evidence.service_ = "docket";
  evidence.routes_["case"] = {1, 0, 20, 4};
  evidence.latencies_["case"] = {0, 3};
  evidence.trial_ = {6, 2};
  RelayRequest request;
  request.evidence_ = {evidence};
  request.revisions_["config"] = 12;
  RelayReply reply;
  reply.evidence_ = {evidence};
  reply.kinds_["servers"] = {{7, true, {{"good", {{"slots", 3}}}}, {"gone"}},
                             {}};
  const std::vector<std::string> messages = {
      Encode(request), Encode(reply), Encode(EvidenceReport{"vm", {evidence}})};
  CheckProperty(20261209, 3000, [&messages] {
    std::string message = *rc::gen::elementOf(messages);
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, message.size());
      message[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    // Whatever was decoded can be passed on.
    if (const auto decoded = DecodeRelayRequest(message)) {
      RC_ASSERT(!Encode(*decoded).empty());
    }
    if (const auto decoded = DecodeRelayReply(message)) {
      RC_ASSERT(!Encode(*decoded).empty());
    }
    if (const auto decoded = DecodeEvidenceReport(message)) {
      RC_ASSERT(!Encode(*decoded).empty());
    }
  });
}

}  // namespace
}  // namespace clementinerill::mirror

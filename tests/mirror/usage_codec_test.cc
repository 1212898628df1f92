#include <string>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

#include "mirror/mirror.h"
#include "property.h"

namespace clementinerill::mirror {
namespace {

using std::chrono::milliseconds;

usage::Message MakeUsage() {
  usage::Message usage;
  usage.process_ = "a#1";
  usage.counts_ = {{"a#1", 353445120, "", 2},
                   {"a#1", 353445120, "kami770", 3},
                   {"b#7", 353445121, "golo131", 412}};
  usage.since_ = 9;
  usage.version_ = 17;
  usage.known_ = usage::TablePosition{"r#5", 12};
  usage.wall_ = milliseconds(1'764'633'600'123);
  usage.agreed_ = milliseconds(1'764'633'600'120);
  usage.held_ = milliseconds(478);
  return usage;
}

auto Fields(const usage::Count& count) {
  return std::tie(count.process_, count.window_, count.organisation_,
                  count.count_);
}

void CheckSame(const std::optional<usage::Message>& decoded) {
  const usage::Message usage = MakeUsage();
  REQUIRE(decoded);
  CHECK(decoded->process_ == usage.process_);
  CHECK(decoded->since_ == 9);
  CHECK(decoded->version_ == usage.version_);
  REQUIRE(decoded->known_);
  CHECK(decoded->known_->process_ == "r#5");
  CHECK(decoded->known_->version_ == 12);
  CHECK(decoded->wall_ == usage.wall_);
  CHECK(decoded->agreed_ == usage.agreed_);
  CHECK(decoded->held_ == usage.held_);
  REQUIRE(decoded->counts_.size() == usage.counts_.size());
  for (size_t i = 0; i < usage.counts_.size(); ++i) {
    CHECK(Fields(decoded->counts_[i]) == Fields(usage.counts_[i]));
  }
}

// Guards against counts that are lost or attributed to another process on the
// way.
TEST_CASE("counts are decoded as encoded", "[usage]") {
  RelayRequest request;
  request.usage_ = MakeUsage();
  CheckSame(DecodeRelayRequest(Encode(request))->usage_);
  RelayReply reply;
  reply.usage_ = MakeUsage();
  CheckSame(DecodeRelayReply(Encode(reply))->usage_);
  EvidenceReport report;
  report.usage_ = MakeUsage();
  CheckSame(DecodeEvidenceReport(Encode(report))->usage_);
}

// Guards against other bytes on the wire where usage is not reported.
TEST_CASE("messages without usage have no field for it", "[usage]") {
  const std::string field = "usage";
  CHECK(Encode(RelayRequest{}).find(field) == std::string::npos);
  CHECK(Encode(RelayReply{}).find(field) == std::string::npos);
  CHECK(Encode(EvidenceReport{}).find(field) == std::string::npos);
  CHECK_FALSE(DecodeRelayReply(Encode(RelayReply{}))->usage_);
}

// Guards against a faulty daemon that ends others by bytes of another message.
TEST_CASE("mutated counts are decoded or rejected", "[usage][fuzz]") {
  RelayRequest request;
  request.usage_ = MakeUsage();
  const std::string original = Encode(request);
  CheckProperty(20261212, 3000, [&original] {
    std::string message = original;
    const auto mutations = *rc::gen::inRange(1, 6);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, message.size());
      message[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    if (const auto decoded = DecodeRelayRequest(message)) {
      RC_ASSERT(!Encode(*decoded).empty());
    }
  });
}

}  // namespace
}  // namespace clementinerill::mirror

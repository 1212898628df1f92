#include "admin/apply_change.h"

#include <memory>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "admin/admin.h"
#include "config/configuration_json.h"
#include "platform/platform_fixture.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

struct AdminFixture : PlatformFixture {
  PlatformClient client_{settings_};

  AdminFixture() {
    const auto stored = client_.Put(kConfigurationKey, R"({
      "pools": [{"name": "p"}],
      "services": [{"name": "s", "pool": "p", "upstreams": [
        {"name": "u0", "address": "127.0.0.1", "port": 9000,
         "failure_domain": "fd"},
        {"name": "u1", "address": "127.0.0.1", "port": 9001,
         "failure_domain": "fd"}]}],
      "failure_domains": [{"name": "fd"}]})",
                                    0, In(milliseconds(1000)));
    REQUIRE(stored.version_ == 1);
  }

  ChangeOutcome Apply(const Operation& operation,
                      uint64_t required_version = 0) {
    return ApplyChange(client_, operation, In(milliseconds(3000)),
                       required_version);
  }

  Configuration Stored() {
    return ReadStoredConfiguration(client_, In(milliseconds(1000)))
        .configuration_;
  }

  /// Returns `operation` such that another writer applies `other` between its
  /// first read and its first write.
  Operation WithConcurrentChange(Operation operation, Operation other) {
    auto first = std::make_shared<bool>(true);
    const auto apply = operation.apply_;
    operation.apply_ = [this, first, apply, other](const Configuration& c) {
      if (std::exchange(*first, false)) {
        REQUIRE(Apply(other).result_ == ChangeResult::kAccepted);
      }
      return apply(c);
    };
    return operation;
  }
};

// Guards against changes that are written twice or not at all.
TEST_CASE("a change is written once", "[admin]") {
  AdminFixture fixture;
  const auto operation = SetLabelsOperation("u0", {{"app", "x"}});
  const ChangeOutcome first = fixture.Apply(operation);
  CHECK(first.result_ == ChangeResult::kAccepted);
  CHECK(first.version_ == 2);
  CHECK(fixture.Stored().change_id_ == first.change_id_);
  const ChangeOutcome again = fixture.Apply(operation);
  CHECK(again.result_ == ChangeResult::kUnchanged);
  CHECK(again.version_ == 2);
  CHECK(fixture.Apply(SetLabelsOperation("u9", {{"app", "x"}})).result_ ==
        ChangeResult::kInvalid);
}

// Guards against lost updates: an operator's write must not undo a concurrent
// change of another operator, and independent changes must not fail.
TEST_CASE("a commutative operation is retried after a conflict", "[admin]") {
  AdminFixture fixture;
  const auto outcome = fixture.Apply(
      fixture.WithConcurrentChange(SetLabelsOperation("u0", {{"app", "x"}}),
                                   SetLabelsOperation("u1", {{"app", "y"}})));
  CHECK(outcome.result_ == ChangeResult::kAccepted);
  CHECK(outcome.version_ == 3);
  CHECK(FindUpstream(fixture.Stored(), "u0")->labels_.at("app") == "x");
  CHECK(FindUpstream(fixture.Stored(), "u1")->labels_.at("app") == "y");
}

// Guards against a retry that overwrites a concurrent change of another
// operator to the same part of the document.
TEST_CASE("a concurrent change of the same part is a conflict", "[admin]") {
  AdminFixture fixture;
  const auto labels = fixture.Apply(
      fixture.WithConcurrentChange(SetLabelsOperation("u0", {{"app", "x"}}),
                                   SetLabelsOperation("u0", {{"app", "y"}})));
  CHECK(labels.result_ == ChangeResult::kConflict);
  CHECK(labels.version_ == 2);
  CHECK(labels.reason_ ==
        "the configuration has version 2, which changed the same part");
  REQUIRE(fixture.Apply(SetInServiceOperation("fd", false)).version_ == 3);
  Operation return_to_service = SetInServiceOperation("fd", true);
  Operation toggle = return_to_service;
  toggle.apply_ = [](const Configuration& c) {
    return SetInService(*SetInService(c, "fd", true), "fd", false);
  };
  CHECK(fixture.Apply(fixture.WithConcurrentChange(return_to_service, toggle))
            .result_ == ChangeResult::kConflict);
  CHECK_FALSE(fixture.Stored().failure_domains_[0].in_service_);
}

// Guards against a whole-document replacement that silently overwrites a newer
// version.
TEST_CASE("replacing the document is never retried", "[admin]") {
  AdminFixture fixture;
  Configuration edited = fixture.Stored();
  edited.pools_[0].slots_ = 7;
  const auto concurrent = fixture.Apply(fixture.WithConcurrentChange(
      ReplaceOperation(edited), SetLabelsOperation("u0", {{"app", "y"}})));
  CHECK(concurrent.result_ == ChangeResult::kConflict);
  CHECK(concurrent.version_ == 2);
  const auto stale = fixture.Apply(ReplaceOperation(edited), 1);
  CHECK(stale.result_ == ChangeResult::kConflict);
  CHECK(stale.reason_ ==
        "the configuration has version 2, but the change was made for version "
        "1");
  CHECK(fixture.Apply(ReplaceOperation(edited), 2).version_ == 3);
}

// Guards against a change that is applied to a document that can't be parsed.
TEST_CASE("an invalid stored document can only be replaced", "[admin]") {
  AdminFixture fixture;
  const Configuration good = fixture.Stored();
  REQUIRE(fixture.client_
              .Put(kConfigurationKey, "[]", std::nullopt, In(milliseconds(500)))
              .version_ == 2);
  const auto labels = fixture.Apply(SetLabelsOperation("u0", {{"app", "x"}}));
  CHECK(labels.result_ == ChangeResult::kInvalid);
  CHECK(labels.reason_ ==
        "the stored document is invalid: the configuration must be a JSON "
        "object");
  CHECK(fixture.Apply(ReplaceOperation(good)).version_ == 3);
}

// Guards against a wrong outcome during an outage or after a lost response.
TEST_CASE("changes during faults", "[admin][fault]") {
  AdminFixture fixture;
  const auto operation = SetLabelsOperation("u0", {{"app", "x"}});
  SECTION("lost responses") {
    fixture.SetFault({FaultMode::kLoseAnswers, milliseconds(0), false, 0});
    CHECK(fixture.Apply(operation).result_ == ChangeResult::kAccepted);
    CHECK(fixture.Stored().version_ == 2);
  }
  SECTION("outage") {
    fixture.SetFault({FaultMode::kDown, milliseconds(0), false, 0});
    CHECK(ApplyChange(fixture.client_, operation, In(milliseconds(200)))
              .result_ == ChangeResult::kUnavailable);
  }
}

// Guards against lost updates when several operators set labels of one upstream
// concurrently.
TEST_CASE("concurrent label changes are all kept", "[admin]") {
  AdminFixture fixture;
  std::vector<std::thread> operators;
  std::vector<ChangeOutcome> outcomes(5);
  for (size_t i = 0; i < outcomes.size(); ++i) {
    operators.emplace_back([&fixture, &outcomes, i] {
      PlatformClient client(fixture.settings_);
      const Labels labels = {{"label-" + std::to_string(i), "set"}};
      outcomes[i] = ApplyChange(client, SetLabelsOperation("u0", labels),
                                In(milliseconds(5000)));
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  std::set<uint64_t> versions;
  for (const ChangeOutcome& outcome : outcomes) {
    CHECK(outcome.result_ == ChangeResult::kAccepted);
    versions.insert(outcome.version_);
  }
  CHECK(versions.size() == outcomes.size());
  CHECK(FindUpstream(fixture.Stored(), "u0")->labels_.size() == 5);
}

}  // namespace
}  // namespace clementinerill

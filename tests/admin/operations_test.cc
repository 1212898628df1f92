#include <catch2/catch.hpp>

#include "admin/admin.h"
#include "config/configuration_json.h"

namespace clementinerill {
namespace {

Configuration Document() {
  return *ParseConfiguration(R"({"version": 4,
    "pools": [{"name": "claims", "slots": 3}],
    "services": [{"name": "s0", "pool": "claims", "upstreams": [
      {"name": "u0", "address": "127.0.0.1", "port": 9000,
       "failure_domain": "fd-a", "labels": {"app": "claims"}},
      {"name": "u1", "address": "127.0.0.1", "port": 9001,
       "failure_domain": "fd-a"}]}],
    "routes": [{"name": "search", "kind": "sweep", "pool": "claims"}],
    "failure_domains": [{"name": "fd-a", "generation": 2}]})");
}

// Guards against operations that change more of the document than requested.
TEST_CASE("an operation changes only its target", "[admin]") {
  const Configuration before = Document();
  const std::string header = "--- version 4\n+++ version 4\n";
  CHECK(DiffDocuments(before, before).empty());
  CHECK(DiffDocuments(before, *SetLabels(before, "u0",
                                         {{"app", ""}, {"tier", "gold"}})) ==
        header +
            "-/services/s0/upstreams/u0/labels/app: \"claims\"\n"
            "+/services/s0/upstreams/u0/labels/tier: \"gold\"\n");
  CHECK(DiffDocuments(before,
                      *SetSelector(before, "search", {{{"app", "claims"}}})) ==
        header + "+/routes/search/selector/app: \"claims\"\n");
  CHECK(DiffDocuments(before, *SetInService(before, "fd-a", false)) ==
        header +
            "-/failure_domains/fd-a/generation: 2\n"
            "+/failure_domains/fd-a/generation: 3\n"
            "-/failure_domains/fd-a/in_service: true\n"
            "+/failure_domains/fd-a/in_service: false\n");
  const auto removed = RemoveUpstream(before, "u1");
  REQUIRE(removed);
  CHECK(removed->services_[0].upstreams_.size() == 1);
}

// Guards against an unchanged generation after a change of the service state:
// an older advisory would then take precedence over the change.
TEST_CASE("each change of the service state increments the generation",
          "[admin]") {
  const auto out = SetInService(Document(), "fd-a", false);
  const auto still_out = SetInService(*out, "fd-a", false);
  const auto in = SetInService(*still_out, "fd-a", true);
  CHECK(out->failure_domains_[0].generation_ == 3);
  CHECK(still_out->failure_domains_[0].generation_ == 3);
  CHECK(in->failure_domains_[0].generation_ == 4);
}

// Guards against operations that accept names that are not declared.
TEST_CASE("operations on undeclared names fail", "[admin]") {
  const Configuration document = Document();
  const auto description = [](const Result<Configuration>& result) {
    return result ? std::string("no error") : Format(result.error());
  };
  CHECK(description(SetLabels(document, "u9", {{"a", "b"}})) ==
        "upstream 'u9' is not declared");
  CHECK(description(SetLabels(document, "u0", {{"", "b"}})) ==
        "a label key must not be empty");
  CHECK(description(SetSelector(document, "r", {})) ==
        "route 'r' is not declared");
  CHECK(description(SetInService(document, "fd-x", false)) ==
        "failure domain 'fd-x' is not declared");
  CHECK(description(RemoveUpstream(document, "u9")) ==
        "upstream 'u9' is not declared");
  Upstream duplicate;
  duplicate.name_ = "u0";
  duplicate.failure_domain_ = "fd-a";
  CHECK(description(AddUpstream(document, "s0", duplicate)) ==
        "/services/0/upstreams/2/name: 'u0' is declared twice");
  CHECK(description(AddUpstream(document, "s9", duplicate)) ==
        "service 's9' is not declared");
}

}  // namespace
}  // namespace clementinerill

#include "organisations/access.h"

#include <catch2/catch.hpp>

namespace clementinerill::organisations {
namespace {

using std::chrono::milliseconds;

constexpr BootInstant kNow{std::chrono::hours(1)};
constexpr Duration kMaxAge = milliseconds(4900);
const ViewAge kRecent{{kNow - milliseconds(100)}, kMaxAge};
const ViewAge kOld{{kNow - milliseconds(4900)}, kMaxAge};
const ViewAge kNoProof{{}, kMaxAge};
const ViewAge kNoProofRequired{};

Directory MakeDirectory(const std::vector<std::string>& keys,
                        const std::string& name = "kami770") {
  Directory directory;
  directory.secret_.fill(7);
  REQUIRE(AddOrganisation(directory, name, 3, keys));
  return directory;
}

std::optional<AccessRefusal> RefusalOf(const PresentedKeys& keys,
                                       const ViewAge& view = kRecent) {
  const Directory directory = MakeDirectory({"key-a", "key-b"});
  return Decide(&directory, false, keys, view, kNow).refusal_;
}

// Guards against a request without a valid key that runs.
TEST_CASE("a request needs exactly one known key", "[access]") {
  CHECK_FALSE(RefusalOf({1, "key-a"}));
  CHECK(RefusalOf({}) == AccessRefusal::kNoKey);
  CHECK(RefusalOf({1, ""}) == AccessRefusal::kNoKey);
  CHECK(RefusalOf({2, "key-a"}) == AccessRefusal::kRepeatedKey);
  CHECK(RefusalOf({2, ""}) == AccessRefusal::kRepeatedKey);
  CHECK(RefusalOf({1, "key-c"}) == AccessRefusal::kUnknownKey);
  CHECK(RefusalOf({1, "key-a,key-b"}) == AccessRefusal::kUnknownKey);
}

TEST_CASE("the owner of the key is named", "[access]") {
  const Directory directory = MakeDirectory({"key-a"});
  const Access access = Decide(&directory, false, {1, "key-a"}, kRecent, kNow);
  CHECK(access.credential_.organisation_ == "kami770");
  CHECK(access.credential_.key_);
}

// Guards against a 401 on the basis of a configuration that may have been
// replaced, and against a removed key that is still accepted.
TEST_CASE("an old view refuses every key with 503", "[access]") {
  for (const ViewAge& view : {kOld, kNoProof}) {
    CHECK(RefusalOf({1, "key-a"}, view) == AccessRefusal::kViewTooOld);
    CHECK(RefusalOf({1, "key-c"}, view) == AccessRefusal::kViewTooOld);
    CHECK(RefusalOf({}, view) == AccessRefusal::kViewTooOld);
  }
  CHECK(StatusOf(AccessRefusal::kViewTooOld) == 503);
  CHECK(StatusOf(AccessRefusal::kUnknownKey) == 401);
  CHECK_FALSE(RefusalOf({1, "key-a"}, kNoProofRequired));
}

// Guards against refusals on public routes and in deployments without
// organisations.
TEST_CASE("public routes and deployments without organisations need no key",
          "[access]") {
  const Directory directory = MakeDirectory({"key-a"});
  CHECK_FALSE(Decide(&directory, true, {2, "x"}, kOld, kNow).refusal_);
  CHECK_FALSE(Decide(nullptr, false, {2, "x"}, kOld, kNow).refusal_);
  CHECK_FALSE(Recheck(&directory, nullptr, true, {}, kOld, kNow));
  CHECK_FALSE(Recheck(nullptr, &directory, false, {}, kOld, kNow));
  CHECK(Decide(&directory, true, {1, "key-a"}, kRecent, kNow)
            .credential_.organisation_.empty());
}

// Guards against attempts that leave after the key was removed.
TEST_CASE("a removed key is refused before a further attempt", "[access]") {
  const Directory before = MakeDirectory({"key-a", "key-b"});
  const Credential credential =
      Decide(&before, false, {1, "key-a"}, kRecent, kNow).credential_;
  const auto recheck = [&](const Directory& newest, const ViewAge& view) {
    return Recheck(&newest, &before, false, credential, view, kNow);
  };
  CHECK_FALSE(recheck(before, kRecent));
  CHECK_FALSE(recheck(MakeDirectory({"key-a"}), kRecent));
  CHECK(recheck(MakeDirectory({"key-b"}), kRecent) ==
        AccessRefusal::kUnknownKey);
  // The replica would be told the name of the former owner.
  CHECK(recheck(MakeDirectory({"key-a"}, "golo131"), kRecent) ==
        AccessRefusal::kUnknownKey);
  CHECK(recheck(before, kOld) == AccessRefusal::kViewTooOld);
}

// Guards against an aggregator that goes on with a query whose key may have
// been removed: it does not know which key the query had.
TEST_CASE("a forwarded request needs all keys of its organisation",
          "[access]") {
  const Directory before = MakeDirectory({"key-a", "key-b"});
  const Credential credential{"kami770", std::nullopt};
  const auto recheck = [&](const Directory& newest) {
    return Recheck(&newest, &before, false, credential, kRecent, kNow);
  };
  CHECK_FALSE(recheck(before));
  CHECK_FALSE(recheck(MakeDirectory({"key-a", "key-b", "key-c"})));
  CHECK(recheck(MakeDirectory({"key-a", "key-c"})) ==
        AccessRefusal::kUnknownKey);
  CHECK(recheck(MakeDirectory({"key-a", "key-b"}, "golo131")) ==
        AccessRefusal::kUnknownKey);
}

// Guards against a query that an aggregator runs on behalf of an organisation
// that it does not know, or of none.
TEST_CASE("a forwarded request names a known organisation", "[access]") {
  const Directory directory = MakeDirectory({"key-a"});
  const auto decide = [&](const char* name, const ViewAge& view) {
    return DecideForwarded(&directory, false, name, view, kNow);
  };
  CHECK_FALSE(decide("kami770", kRecent));
  CHECK(decide("", kRecent) == ForwardRefusal::kNoOrganisation);
  CHECK(decide("golo131", kRecent) == ForwardRefusal::kUnknownOrganisation);
  CHECK(decide("kami770", kOld) == ForwardRefusal::kViewTooOld);
  CHECK_FALSE(DecideForwarded(&directory, true, "", kOld, kNow));
  CHECK_FALSE(DecideForwarded(nullptr, false, "", kOld, kNow));
  CHECK(DecideForwarded(nullptr, false, "kami770", kRecent, kNow) ==
        ForwardRefusal::kUnknownOrganisation);
  CHECK(DecideForwarded(&directory, true, "kami770", kRecent, kNow) ==
        ForwardRefusal::kUnknownOrganisation);
}

// Guards against a request that was accepted while its route needed no key and
// is sent after that has changed.
TEST_CASE("a request without an organisation is refused once it needs one",
          "[access]") {
  const Directory directory = MakeDirectory({"key-a"});
  CHECK(Recheck(&directory, nullptr, false, {}, kRecent, kNow) ==
        AccessRefusal::kNoKey);
}

}  // namespace
}  // namespace clementinerill::organisations

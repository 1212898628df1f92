#include "organisations/directory.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace clementinerill::organisations {
namespace {

using Keys = std::vector<std::string>;

// Bytes that differ: xxHash combines parts of the secret, and equal parts would
// cancel each other out.
DigestSecret MakeSecret(unsigned factor) {
  DigestSecret secret{};
  unsigned value = factor;
  for (unsigned char& byte : secret) {
    value = value * 1664525 + 1013904223;
    byte = static_cast<unsigned char>(value >> 24);
  }
  return secret;
}

Directory MakeDirectory() {
  Directory directory;
  directory.secret_ = MakeSecret(1);
  REQUIRE(AddOrganisation(directory, "kami770", 1, {"key-a", "key-b"}));
  REQUIRE(AddOrganisation(directory, "golo131", 0, {}));
  return directory;
}

// The description of the error, which must not contain any of the keys.
std::string ErrorOf(const std::string& name, const Keys& keys) {
  Directory directory = MakeDirectory();
  const auto added = AddOrganisation(directory, name, 0, keys);
  REQUIRE_FALSE(added);
  for (const std::string& key : keys) {
    CHECK((key.empty() ||
           added.error().description_.find(key) == std::string::npos));
  }
  return added.error().description_;
}

const Organisation* Find(const Directory& directory, const std::string& key) {
  return FindByKey(directory, DigestOf(key, directory.secret_));
}

// Guards against a key that is taken for that of another organisation.
TEST_CASE("an organisation is found by each of its keys", "[directory]") {
  const Directory directory = MakeDirectory();
  for (const char* key : {"key-a", "key-b"}) {
    REQUIRE(Find(directory, key));
    CHECK(Find(directory, key)->name_ == "kami770");
    CHECK(Find(directory, key)->priority_ == 1);
  }
  CHECK_FALSE(Find(directory, "key-"));
  CHECK_FALSE(Find(directory, "key-aa"));
  CHECK_FALSE(Find(directory, "KEY-A"));
  CHECK_FALSE(Find(directory, "kami770"));
  REQUIRE(FindByName(directory, "golo131"));
  CHECK_FALSE(FindByName(directory, "golo"));
}

// Guards against keys that are confused because only a part of the digest is
// compared.
TEST_CASE("digests are equal only if all of their bits are", "[directory]") {
  const KeyDigest digest{1, 2};
  CHECK(digest == KeyDigest{1, 2});
  CHECK_FALSE(digest == KeyDigest{1, 3});
  CHECK_FALSE(digest == KeyDigest{0, 2});
  for (int bit = 0; bit < 64; ++bit) {
    CHECK_FALSE(digest == KeyDigest{1ULL ^ (1ULL << bit), 2});
    CHECK_FALSE(digest == KeyDigest{1, 2ULL ^ (1ULL << bit)});
  }
}

// Guards against digests that others can compute in advance.
TEST_CASE("a digest depends on the secret", "[directory]") {
  CHECK(DigestOf("key-a", MakeSecret(1)) == DigestOf("key-a", MakeSecret(1)));
  CHECK_FALSE(DigestOf("key-a", MakeSecret(1)) ==
              DigestOf("key-a", MakeSecret(2)));
}

// Guards against a configuration in which a key has no single owner, or names
// and keys that no request can carry; and against keys in error texts.
TEST_CASE("errors of names and keys name their place only", "[directory]") {
  CHECK(ErrorOf("new", {"key-x", "key-b"}) ==
        "key 1 is a key of organisation 0 too");
  CHECK(ErrorOf("new", {"key-x", "key-y", "key-x"}) == "key 2 occurs twice");
  CHECK(ErrorOf("new", {"key-x", ""}) == "key 1 is empty");
  for (const char* key : {"with space", "tab\t", "\x7f", "k\xc3\xb6y", "\n"}) {
    CHECK(ErrorOf("new", {key}) == "key 0 contains bytes outside 0x21 to 0x7e");
  }
  CHECK(ErrorOf("", {"key-x"}) == "its name is empty");
  CHECK(ErrorOf("golo131", {"key-x"}) == "its name is that of organisation 1");
  for (const char* name : {" a", "a ", "a\r\nX: y", "a\x7f", "\x01"}) {
    CHECK(ErrorOf(name, {"key-x"}) ==
          "its name contains bytes that a header cannot carry");
  }
}

TEST_CASE("a name may contain spaces and bytes beyond ASCII", "[directory]") {
  Directory directory = MakeDirectory();
  CHECK(AddOrganisation(directory, "Bayan Z\xc3\xbcrkh 4", 0, {"k"}));
}

}  // namespace
}  // namespace clementinerill::organisations

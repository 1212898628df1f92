#include <catch2/catch.hpp>

#include "settings/admin_token.h"
#include "settings/duration_text.h"
#include "settings/endpoint.h"
#include "settings/nearest_key.h"
#include "settings/size_text.h"

namespace clementinerill {
namespace {

// Guards against a unit that is parsed as another one.
TEST_CASE("durations and sizes are parsed with their units", "[settings]") {
  CHECK(ParseDuration("250ms") == std::chrono::milliseconds(250));
  CHECK(ParseDuration("2min") == std::chrono::minutes(2));
  CHECK(ParseSize("64KiB") == 65'536);
  CHECK(ParseSize("1GiB") == 1'073'741'824);
  CHECK(FormatDuration(std::chrono::milliseconds(1'500)) == "1500ms");
  CHECK(FormatDuration(Duration::zero()) == "0us");
  CHECK(FormatSize(65'536) == "64KiB");
}

// Guards against lenient parsing of malformed text and against overflow.
TEST_CASE("malformed quantities are errors", "[settings]") {
  for (const char* text : {"", "3", "ms", "-1s", "-0s", "+1s", "1.5s", "3 s",
                           "3S", "9223372036854775807min", "10000000000s"}) {
    CHECK_FALSE(ParseDuration(text));
  }
  for (const char* text : {"64K", "64kib", "99999999999GiB"}) {
    CHECK_FALSE(ParseSize(text));
  }
}

// Guards against host names, which need a resolver, and against ambiguous IPv6
// text.
TEST_CASE("endpoints are IP addresses with a port", "[settings]") {
  CHECK(ParseEndpoint("[fd00:0::1]:80") == Endpoint{"fd00::1", 80});
  CHECK(ToText({"fd00::1", 80}) == "[fd00::1]:80");
  for (const char* text : {"", ":80", "vm:80", "10.0.0.1", "10.0.0.1:65536",
                           "10.0.0.1:-1", "fd00::1:80", "10.0.0.256:1"}) {
    CHECK_FALSE(ParseEndpoint(text));
  }
}

// Guards against a system-assigned port where other processes must know it.
TEST_CASE("port 0 is only allowed for ephemeral listeners", "[settings]") {
  const std::string text = "127.0.0.1:0";
  CHECK(ParseListenEndpoint(text, ListenPortPolicy::kAllowEphemeral) ==
        Endpoint{"127.0.0.1", 0});
  CHECK_FALSE(ParseListenEndpoint(text, ListenPortPolicy::kFixed));
  CHECK_FALSE(ParseEndpoint(text));
}

// Guards against a suggestion that is not the closest key.
TEST_CASE("the nearest key has the smallest edit distance", "[settings]") {
  CHECK(EditDistance("kitten", "sitting") == 3);
  CHECK(NearestKey("peer_listn", {"admin_listen", "peer_listen", "peers"}) ==
        "peer_listen");
}

// Guards against a token that includes the line break of its file.
TEST_CASE("trailing white space of the token file is ignored", "[settings]") {
  const auto token = ParseAdminTokenFile("0123456789abcdef\r\n");
  REQUIRE(token);
  CHECK(token->Reveal() == "0123456789abcdef");
  CHECK_FALSE(ParseAdminTokenFile("0123456789 abcdef\n"));
  CHECK_FALSE(ParseAdminTokenFile("short\n"));
}

}  // namespace
}  // namespace clementinerill

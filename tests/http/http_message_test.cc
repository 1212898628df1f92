#include <catch2/catch.hpp>

#include "http/http_message.h"

namespace clementinerill::http {
namespace {

// Guards against fields of one connection that reach the next one.
TEST_CASE("hop-by-hop fields are left out", "[message]") {
  const Headers headers = {
      {"Host", "a"},           {"Connection", "close, X-Trace"},
      {"x-trace", "1"},        {"Transfer-Encoding", "chunked"},
      {"Content-Length", "5"}, {"X-Other", "2"}};
  CHECK(EndToEndHeaders(headers) == Headers{{"Host", "a"}, {"X-Other", "2"}});
}

TEST_CASE("requests and answers state the length of their body", "[message]") {
  HttpRequest request{"POST", "/a?b=1", {{"Host", "h"}}, "", true};
  CHECK(ToBytes(request) ==
        "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  request.method_ = "GET";
  CHECK(ToBytes(request) == "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n");
  HttpResponse answer{200, {}, "abc", true};
  CHECK(ToBytes(answer, true, false) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: "
        "close\r\n\r\nabc");
  // An answer to HEAD has the length and no body.
  CHECK(ToBytes(answer, false, true) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
}

}  // namespace
}  // namespace clementinerill::http

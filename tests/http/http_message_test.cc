#include <catch2/catch.hpp>

#include "http/http_message.h"

namespace clementinerill::http {
namespace {

// Guards against forwarding header fields that apply to a single connection.
TEST_CASE("hop-by-hop fields are removed", "[message]") {
  const Headers headers = {
      {"Host", "a"},           {"Connection", "close, X-Trace"},
      {"x-trace", "1"},        {"Transfer-Encoding", "chunked"},
      {"Content-Length", "5"}, {"X-Other", "2"}};
  CHECK(EndToEndHeaders(headers) == Headers{{"Host", "a"}, {"X-Other", "2"}});
}

TEST_CASE("requests and responses state the length of their body",
          "[message]") {
  HttpRequest request{"POST", "/a?b=1", {{"Host", "h"}}, "", true};
  CHECK(ToBytes(request) ==
        "POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  request.method_ = "GET";
  CHECK(ToBytes(request) == "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n");
  HttpResponse response{200, {}, "abc", true};
  CHECK(ToBytes(response, true, false) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: "
        "close\r\n\r\nabc");
  // The response to HEAD has a Content-Length but no body.
  CHECK(ToBytes(response, false, true) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
}

}  // namespace
}  // namespace clementinerill::http

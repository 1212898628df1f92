#include "http/received_body.h"

#include <algorithm>
#include <string>

#include <catch2/catch.hpp>

#include "http/http.h"

namespace clementinerill::http {
namespace {

namespace beast = boost::beast::http;

using Parser = beast::response_parser<ReceivedBody>;

/// Parses a response of `length` bytes of which `sent` have arrived, and
/// returns the memory of its body.
size_t CapacityAfter(size_t length, size_t sent) {
  Parser parser;
  parser.body_limit(length);
  std::string input =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
      "\r\n\r\n" + std::string(sent, 'x');
  boost::system::error_code error;
  while (!input.empty() && !parser.is_done()) {
    std::string part = input.substr(0, 4096);
    input.erase(0, part.size());
    ParseSome(parser, part, error);
  }
  REQUIRE(parser.is_done() == (sent == length));
  CHECK(parser.get().body().size() == sent);
  return parser.get().body().capacity();
}

// Guards against a sender that takes memory by announcing a body.
TEST_CASE("the memory of a body follows the bytes that have arrived",
          "[length]") {
  constexpr size_t kLength = 16'000'000;
  for (const size_t sent : {size_t{1}, size_t{4096}, kLength / 3, kLength}) {
    INFO(sent);
    CHECK(CapacityAfter(kLength, sent) <= std::max<size_t>(64, 2 * sent));
  }
}

}  // namespace
}  // namespace clementinerill::http

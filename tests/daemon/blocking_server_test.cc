#include "daemon/blocking_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include <catch2/catch.hpp>

#include "http/test_server.h"

namespace clementinerill {
namespace {

// Guards against an exception, such as a lack of memory, that ends the process
// or leaves its request without an end. The request may have run.
TEST_CASE("an exception in a blocking handler fails that request",
          "[exception]") {
  BlockingServerOptions options;
  options.threads_ = 1;
  options.memory_bytes_ = 1 << 20;
  options.max_connections_ = 4;
  BlockingServer server(
      options,
      {[](const http::HttpRequest& request,
          const std::function<bool()>& /*gone*/) {
         if (request.target_ == "/throws") {
           throw std::runtime_error("thrown by the test");
         }
         return http::HttpResponse{200, {}, "", true};
       },
       [](http::RequestError error) {
         return http::HttpResponse{http::StatusOf(error), {}, "", true};
       }});
  const auto port = server.Start();
  REQUIRE(port);
  http::EventLoop loop;
  const auto status_of = [&loop, &port](const std::string& target) {
    const auto connection = std::make_shared<http::ClientConnection>(
        loop, "127.0.0.1", *port, 1000);
    std::optional<http::ExchangeResult> result;
    http::ExchangeRequest request;
    request.bytes_ = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    connection->Start(std::move(request),
                      [&result](auto r) { result = std::move(r); });
    REQUIRE(http::RunUntil(loop, [&result] { return result.has_value(); }));
    connection->Close();
    return result->response_.status_;
  };
  CHECK(status_of("/throws") == 500);
  CHECK(status_of("/") == 200);
}

// Guards against a task that takes its thread, and with it the process, along.
TEST_CASE("a thread of a pool outlasts a task that throws", "[exception]") {
  bool has_run = false;
  {
    TaskPool pool(1);
    pool.Post([] { throw std::runtime_error("thrown by the test"); });
    pool.Post([&has_run] { has_run = true; });
  }
  CHECK(has_run);
}

}  // namespace
}  // namespace clementinerill

#ifndef CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_SERVER_H_
#define CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include "fakes/platform/fake_platform_state.h"

namespace clementinerill {

/// @brief An in-memory fake of the platform that listens on 127.0.0.1.
///
/// Serves the object API, the VM list and the control calls `PUT /vms`,
/// `POST /fault` and `GET /stats` from construction to destruction.
///
/// Example: `FakePlatformServer server; Connect(server.Port());`
class FakePlatformServer {
 public:
  /// @brief Listens on `port`, or on a free port if it is 0.
  ///
  /// A non-empty `token` is required as `Authorization: Bearer`. Throws
  /// `Poco::Exception` when the port is already in use.
  explicit FakePlatformServer(uint16_t port = 0, std::string token = {});
  ~FakePlatformServer();
  FakePlatformServer(const FakePlatformServer&) = delete;
  FakePlatformServer& operator=(const FakePlatformServer&) = delete;

  [[nodiscard]] uint16_t Port() const;
  [[nodiscard]] FakePlatformState& State() noexcept { return state_; }

 private:
  FakePlatformState state_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_FAKE_PLATFORM_SERVER_H_

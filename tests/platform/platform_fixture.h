#ifndef CLEMENTINERILL_TESTS_PLATFORM_PLATFORM_FIXTURE_H_
#define CLEMENTINERILL_TESTS_PLATFORM_PLATFORM_FIXTURE_H_

#include <chrono>
#include <string>

#include "fakes/platform/fake_platform_server.h"
#include "platform/platform.h"

namespace clementinerill {

inline Instant In(std::chrono::milliseconds time) {
  return std::chrono::steady_clock::now() + time;
}

inline std::string Value(const std::string& change_id, int count = 0) {
  return R"({"change_id": ")" + change_id + R"(", "count": )" +
         std::to_string(count) + "}";
}

/// @brief A running fake platform server and client settings to connect to it.
struct PlatformFixture {
  FakePlatformServer server_;
  PlatformSettings settings_ = [this] {
    PlatformSettings settings;
    settings.port_ = server_.Port();
    settings.call_timeout_ = std::chrono::milliseconds(300);
    settings.backoff_.initial_delay_ = std::chrono::milliseconds(5);
    return settings;
  }();

  void SetFault(Fault fault) { server_.State().SetFault(fault); }
  CallCounts Counts() { return server_.State().Calls().Counts(); }
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_TESTS_PLATFORM_PLATFORM_FIXTURE_H_

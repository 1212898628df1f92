#include "logging/contain_exceptions.h"

#include <chrono>
#include <string>

#include "logging/log.h"

namespace clementinerill {

void ReportException(std::string_view handler, const char* what) noexcept {
  try {
    static RateLimitedLogger lines;
    lines.Log(std::chrono::steady_clock::now(), LogLevel::kError, "handler",
              "ended by an exception",
              {{"handler", std::string(handler)}, {"error", what}});
  } catch (...) {
    // The counter of the caller still tells.
  }
}

}  // namespace clementinerill

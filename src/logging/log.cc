#include "logging/log.h"

#include <boost/log/core.hpp>
#include <boost/log/keywords/severity.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_feature.hpp>
#include <boost/log/sources/severity_logger.hpp>

#include "logging/log_line.h"
#include "logging/log_threshold.h"

namespace clementinerill {

bool IsLogged(LogLevel level) noexcept {
  return level >= LogThreshold().load(std::memory_order_relaxed);
}

void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         const LogFields& fields) {
  if (!IsLogged(level)) {
    return;
  }
  static boost::log::sources::severity_logger_mt<LogLevel> logger;
  BOOST_LOG_SEV(logger, level) << FormatLogLine(component, message, fields);
}

void RateLimitedLogger::Log(Instant now,
                            LogLevel level,
                            std::string_view component,
                            std::string_view message,
                            const LogFields& fields) {
  if (!IsLogged(level)) {
    return;
  }
  LogRateDecision decision;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    decision = AdmitLogLine(limit_, state_, now);
  }
  if (!decision.write_) {
    return;
  }
  LogFields all_fields = fields;
  if (decision.suppressed_ > 0) {
    all_fields.emplace_back("suppressed", decision.suppressed_);
  }
  clementinerill::Log(level, component, message, all_fields);
}

void RateLimitedLogger::ReportSuppressed(Instant now,
                                         std::string_view component) {
  uint64_t suppressed = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    suppressed = TakeSuppressedCount(limit_, state_, now);
  }
  if (suppressed > 0) {
    clementinerill::Log(LogLevel::kWarning, component, "lines suppressed",
                        {{"suppressed", suppressed}});
  }
}

}  // namespace clementinerill

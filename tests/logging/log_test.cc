#include "logging/log.h"

#include <regex>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>

#include "logging/log_line.h"
#include "logging/start_logging.h"
#include "logging/timestamp.h"

namespace clementinerill {
namespace {

std::vector<std::string> LinesOf(const std::ostringstream& stream) {
  std::istringstream text(stream.str());
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(text, line)) {
    lines.push_back(line);
  }
  return lines;
}

// Guards against log injection: values from outside must not add fields or
// lines.
TEST_CASE("field values are escaped", "[logging]") {
  CHECK(EscapeFieldValue("10.0.0.1:80") == "10.0.0.1:80");
  CHECK(EscapeFieldValue("") == "\"\"");
  CHECK(EscapeFieldValue("a b=c") == "\"a b=c\"");
  CHECK(EscapeFieldValue("a\"b\\") == "\"a\\\"b\\\\\"");
  CHECK(EscapeFieldValue("a\nb\r\t\x1b") == "\"a\\nb\\r\\t\\x1b\"");
  CHECK(EscapeFieldValue("\xc3\xa9") == "\"\xc3\xa9\"");
  CHECK(FormatLogLine("sweep", "part\nretried",
                      {{"reason", "shed"},
                       {"attempt", 2},
                       {"hedge", false},
                       {"left_ms", Duration(std::chrono::milliseconds(40))}}) ==
        "sweep: part\\nretried reason=shed attempt=2 hedge=false left_ms=40");
}

// Guards against lines whose order as text differs from their order in time.
TEST_CASE("a timestamp has a fixed width", "[logging]") {
  using boost::posix_time::microseconds;
  const boost::posix_time::ptime day(boost::gregorian::date(2026, 1, 31));
  CHECK(FormatTimestamp(day) == "2026-01-31T00:00:00.000000Z");
  CHECK(FormatTimestamp(day + microseconds(70)) ==
        "2026-01-31T00:00:00.000070Z");
}

// Guards against records without time or level, and against lines below the
// configured level.
TEST_CASE("a record is one line with time, level and component", "[logging]") {
  std::ostringstream stream;
  StartLogging(stream, LogLevel::kWarning);
  CHECK_FALSE(IsLogged(LogLevel::kInfo));
  Log(LogLevel::kInfo, "peer", "link opened");
  Log(LogLevel::kError, "peer", "link closed", {{"peer", "entry 2"}});
  const auto lines = LinesOf(stream);
  REQUIRE(lines.size() == 1);
  const std::regex expected(
      R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z error peer: link closed )"
      R"(peer="entry 2")");
  INFO(lines[0]);
  CHECK(std::regex_match(lines[0], expected));
}

// Guards against interleaved lines of several threads, and against a data race
// on the rate limit.
TEST_CASE("a call site keeps its rate limit with several threads",
          "[logging]") {
  std::ostringstream stream;
  StartLogging(stream, LogLevel::kInfo);
  RateLimitedLogger logger({5, std::chrono::seconds(1)});
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&logger] {
      for (int line = 0; line < 1'000; ++line) {
        logger.Log(Instant{}, LogLevel::kInfo, "sweep", "part retried");
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const Instant later = Instant{} + std::chrono::seconds(1);
  logger.Log(later, LogLevel::kInfo, "sweep", "part retried", {{"part", 3}});
  logger.ReportSuppressed(later + std::chrono::seconds(1), "sweep");
  const auto lines = LinesOf(stream);
  REQUIRE(lines.size() == 6);
  CHECK_THAT(lines[4], Catch::EndsWith("info sweep: part retried"));
  CHECK_THAT(lines[5], Catch::EndsWith("part=3 suppressed=7995"));
}

}  // namespace
}  // namespace clementinerill

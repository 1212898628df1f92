#ifndef CLEMENTINERILL_FAKES_LOAD_CALLER_H_
#define CLEMENTINERILL_FAKES_LOAD_CALLER_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

#include <Poco/Net/HTTPClientSession.h>

#include "fakes/load/load_options.h"
#include "fakes/load/load_result.h"

namespace clementinerill {

/// @brief Time span and request counter shared by all callers of a run.
struct LoadSchedule {
  std::chrono::steady_clock::time_point begin_;
  std::chrono::steady_clock::time_point end_;
  std::atomic<uint64_t> next_{0};  ///< Sequence number of the next request.
};

/// @brief Sends requests sequentially until the schedule ends.
class Caller {
 public:
  Caller(const LoadOptions& options, LoadSchedule& schedule, size_t number);

  [[nodiscard]] LoadResult Run();

 private:
  void SendOne(uint64_t number);
  [[nodiscard]] std::string SendRequest(const std::string& query);
  void EvaluateResponse(const std::string& text,
                        const std::string& query,
                        double latency_ms);
  void Record(const std::string& query,
              const std::string& outcome,
              double latency_ms);

  const LoadOptions& options_;
  LoadSchedule& schedule_;
  const size_t number_;
  std::unique_ptr<Poco::Net::HTTPClientSession> session_;
  LoadResult result_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_LOAD_CALLER_H_

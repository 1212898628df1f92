#ifndef CLEMENTINERILL_FAKES_LOAD_LOAD_RESULT_H_
#define CLEMENTINERILL_FAKES_LOAD_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace clementinerill {

/// @brief Results of one run of the load generator.
struct LoadResult {
  std::map<std::string, uint64_t> outcomes_;
  std::map<std::string, uint64_t> reasons_;
  uint64_t sent_ = 0;
  uint64_t unanswered_ = 0;  ///< Connection failed or invalid response.
  uint64_t wrong_ = 0;  ///< Hits or coverage differ from the generated index.
  uint64_t misrouted_ = 0;  ///< The request id of the response differs.
  uint64_t in_time_ = 0;    ///< Complete responses within the deadline.
  std::vector<double> latencies_ms_;  ///< Of complete responses.
  std::vector<std::string> records_;  ///< `<query> <outcome> <milliseconds>`.
};

/// @brief Adds the counters and samples of `other` to `total`.
void Merge(LoadResult& total, LoadResult other);

/// @brief Formats the result as one line of JSON.
[[nodiscard]] std::string ToJsonText(LoadResult& result, double seconds);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_LOAD_LOAD_RESULT_H_

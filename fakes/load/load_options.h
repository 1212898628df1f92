#ifndef CLEMENTINERILL_FAKES_LOAD_LOAD_OPTIONS_H_
#define CLEMENTINERILL_FAKES_LOAD_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace clementinerill {

/// @brief Configuration of the load generator.
struct LoadOptions {
  std::vector<uint16_t> ports_;  ///< Daemons on 127.0.0.1, used round-robin.
  std::string route_ = "claims-search";
  int callers_ = 4;  ///< Concurrent callers, each with one request at a time.
  double seconds_ = 2;
  double rate_ = 0;     ///< Total requests/s; 0: no limit.
  uint64_t count_ = 0;  ///< Total requests; 0: no limit.
  int deadline_ms_ = 1000;
  bool direct_ = false;       ///< The ports belong to upstreams, not daemons.
  bool verify_ = true;        ///< Compare hits with the generated index.
  std::string prefix_ = "q";  ///< Prefix that makes queries unique.
  std::string record_;  ///< Output file, one line per request; empty: none.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_LOAD_LOAD_OPTIONS_H_

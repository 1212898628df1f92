#ifndef CLEMENTINERILL_FAKES_LOAD_LOAD_OPTIONS_H_
#define CLEMENTINERILL_FAKES_LOAD_LOAD_OPTIONS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace clementinerill {

/// @brief What the load tool sends.
struct LoadOptions {
  std::vector<uint16_t> ports_;  ///< Daemons on 127.0.0.1, used in turn.
  std::string route_ = "claims-search";
  int callers_ = 4;  ///< Callers that send one request at a time.
  double seconds_ = 2;
  double rate_ = 0;     ///< Requests a second in total; zero for no limit.
  uint64_t count_ = 0;  ///< Requests in total; zero for no limit.
  int deadline_ms_ = 1000;
  bool direct_ = false;       ///< The ports are upstreams and not daemons.
  bool verify_ = true;        ///< Compare hits with those computed directly.
  std::string prefix_ = "q";  ///< Start of each query; makes them unique.
  std::string record_;  ///< File for one line per request; empty for none.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_LOAD_LOAD_OPTIONS_H_

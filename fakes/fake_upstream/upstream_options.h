#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_OPTIONS_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_OPTIONS_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief How one upstream stand-in behaves.
struct UpstreamOptions {
  uint16_t port_ = 0;
  int slots_ = 3;          ///< Requests run at once; more are shed.
  int connections_ = 30;   ///< Connections accepted at once.
  int connect_ms_ = 6;     ///< Extra time of the first request of a connection.
  double service_ms_ = 4;  ///< Mean time to run a request.
  uint64_t partition_ = 0;
  uint64_t partitions_ = 1;
  std::string offers_ = "1@1";  ///< Snapshots, as in `X-Offers`.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_OPTIONS_H_

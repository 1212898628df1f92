#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_OPTIONS_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_OPTIONS_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief Configuration of one fake upstream.
struct UpstreamOptions {
  uint16_t port_ = 0;
  int slots_ = 3;          ///< Concurrent requests; more are shed.
  int connections_ = 30;   ///< Maximum number of connections.
  int connect_ms_ = 6;     ///< Delay before a new connection is served.
  double service_ms_ = 4;  ///< Mean service time.
  uint64_t partition_ = 0;
  uint64_t partitions_ = 1;
  std::string offers_ = "1@1";  ///< Index snapshots, as in `X-Offers`.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_OPTIONS_H_

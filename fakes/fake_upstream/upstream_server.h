#ifndef CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_SERVER_H_
#define CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_SERVER_H_

#include <memory>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include "fakes/fake_upstream/upstream_model.h"
#include "fakes/fake_upstream/upstream_options.h"

namespace clementinerill {

/// @brief HTTP server of a fake upstream, listening on 127.0.0.1.
class UpstreamServer {
 public:
  /// @brief Starts serving; throws if the port is already in use.
  explicit UpstreamServer(const UpstreamOptions& options);
  ~UpstreamServer();
  UpstreamServer(const UpstreamServer&) = delete;
  UpstreamServer& operator=(const UpstreamServer&) = delete;

  [[nodiscard]] uint16_t Port() const noexcept { return port_; }
  [[nodiscard]] UpstreamModel& Model() noexcept { return model_; }

 private:
  UpstreamModel model_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
  uint16_t port_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_FAKE_UPSTREAM_UPSTREAM_SERVER_H_

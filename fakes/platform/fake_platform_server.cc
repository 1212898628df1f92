#include "fakes/platform/fake_platform_server.h"

#include <utility>

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "fakes/platform/fake_platform_handler.h"

namespace clementinerill {
namespace {

// Each pending watch blocks one thread.
constexpr int kMaxThreads = 1000;

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(FakePlatformState& state) : state_(state) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new FakePlatformHandler(state_);
  }

 private:
  FakePlatformState& state_;
};

}  // namespace

FakePlatformServer::FakePlatformServer(uint16_t port, std::string token)
    : state_(std::move(token)), threads_(4, kMaxThreads) {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(5, 0));
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress("127.0.0.1", port), kMaxThreads);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(state_),
                                                    threads_, socket, params);
  server_->start();
}

FakePlatformServer::~FakePlatformServer() {
  server_->stop();
  state_.Objects().Interrupt();
  server_->stopAll(/*abortCurrent=*/true);
  threads_.joinAll();
}

uint16_t FakePlatformServer::Port() const {
  return server_->port();
}

}  // namespace clementinerill

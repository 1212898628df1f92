#include "daemon/admin_server.h"

#include <istream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

namespace clementinerill {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kThreads = 8;
constexpr int kIdleSeconds = 10;
constexpr size_t kMaxBodyBytes = size_t{64} << 10;

std::string ReadToken(const HTTPServerRequest& request) {
  const std::string prefix = "Bearer ";
  const std::string header = request.get("Authorization", "");
  return header.compare(0, prefix.size(), prefix) == 0
             ? header.substr(prefix.size())
             : std::string();
}

class AdminHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit AdminHandler(const AdminServer::Handler& handler)
      : handler_(handler) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    AdminRequest admin;
    admin.method_ = request.getMethod();
    const Poco::URI uri(request.getURI());
    admin.path_ = uri.getPath();
    admin.query_ = uri.getQuery();
    admin.token_ = ReadToken(request);
    admin.body_.resize(kMaxBodyBytes);
    request.stream().read(admin.body_.data(),
                          static_cast<std::streamsize>(kMaxBodyBytes));
    admin.body_.resize(static_cast<size_t>(request.stream().gcount()));
    const AdminReply reply = handler_(admin);
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status_));
    response.setContentType(reply.content_type_);
    response.sendBuffer(reply.body_.data(), reply.body_.size());
  }

 private:
  const AdminServer::Handler& handler_;
};

class AdminHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit AdminHandlerFactory(const AdminServer::Handler& handler)
      : handler_(handler) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    static_cast<void>(request);
    return new AdminHandler(handler_);
  }

 private:
  const AdminServer::Handler& handler_;
};

}  // namespace

AdminServer::AdminServer(std::string address, uint16_t port, Handler handler)
    : address_(std::move(address)),
      port_(port),
      handler_(std::move(handler)),
      threads_(2, kThreads) {}

AdminServer::~AdminServer() {
  Stop();
}

Result<uint16_t> AdminServer::Start() {
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address_, port_),
                /*reuseAddress=*/true);
    socket.listen();
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    params->setMaxThreads(kThreads);
    params->setTimeout(Poco::Timespan(kIdleSeconds, 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new AdminHandlerFactory(handler_), threads_, socket, params);
    server_->start();
    return socket.address().port();
  } catch (const Poco::Exception& exception) {
    return Fail("listening on " + address_ + ":" + std::to_string(port_) +
                " failed: " + exception.displayText());
  }
}

void AdminServer::Stop() {
  if (server_) {
    server_->stopAll(/*abortCurrent=*/true);
    server_.reset();
  }
}

}  // namespace clementinerill

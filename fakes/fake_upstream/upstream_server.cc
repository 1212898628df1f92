#include "fakes/fake_upstream/upstream_server.h"

#include <iterator>
#include <thread>
#include <utility>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "base/parse_number.h"

namespace clementinerill {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Threads beyond the connection limit, so that /stats and /fault are served
// while all other connections are in use.
constexpr int kSpareThreads = 6;
constexpr int kKeepAliveSeconds = 600;
constexpr uint64_t kMaxDeadlineMs = 600'000;

bool IsDisconnected(HTTPServerRequest& request) {
  auto& socket =
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
  try {
    if (!socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
  } catch (const std::exception&) {
    return true;
  }
}

UpstreamQuery ReadQuery(HTTPServerRequest& request) {
  const std::string body(std::istreambuf_iterator<char>(request.stream()), {});
  const auto document = nlohmann::json::parse(body, nullptr, false);
  UpstreamQuery query;
  query.attempt_id_ = request.get("X-Attempt", "");
  query.peer_ = request.clientAddress().toString();
  if (document.is_object()) {
    query.route_ = document.value("route", "");
    query.query_ = document.value("query", "");
    query.top_ = document.value("top", query.top_);
  }
  const uint64_t remaining_ms =
      ParseNumber(request.get("X-Deadline-Ms", "")).value_or(kMaxDeadlineMs);
  query.deadline_ = std::chrono::steady_clock::now() +
                    std::chrono::milliseconds(remaining_ms);
  const auto index_version = ParseNumber(request.get("X-Index-Version", ""));
  const auto partition_map = ParseNumber(request.get("X-Partition-Map", ""));
  if (index_version && partition_map) {
    query.snapshot_ = Snapshot{*index_version, *partition_map};
  }
  return query;
}

class UpstreamHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit UpstreamHandler(UpstreamModel& model) : model_(model) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const Poco::URI uri(request.getURI());
    if (uri.getPath() == "/query") {
      ServeQuery(request, response);
      return;
    }
    Send(response, ServeControl(uri, request));
  }

 private:
  UpstreamReply ServeControl(const Poco::URI& uri, HTTPServerRequest& request) {
    UpstreamReply reply;
    reply.body_ = "{}";
    if (uri.getPath() == "/stats") {
      reply.body_ = model_.StatsText();
    } else if (uri.getPath() == "/fault") {
      const std::string body(std::istreambuf_iterator<char>(request.stream()),
                             {});
      reply.status_ = model_.SetFaults(body)
                          ? Poco::Net::HTTPResponse::HTTP_OK
                          : Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
    } else if (uri.getPath() == "/cancel") {
      for (const auto& [name, value] : uri.getQueryParameters()) {
        model_.Cancel(value);
      }
    } else if (uri.getPath() != "/ping") {
      reply.status_ = Poco::Net::HTTPResponse::HTTP_NOT_FOUND;
    }
    return reply;
  }

  void ServeQuery(HTTPServerRequest& request, HTTPServerResponse& response) {
    const UpstreamQuery query = ReadQuery(request);
    const UpstreamReply reply =
        model_.Serve(query, [&request] { return IsDisconnected(request); });
    if (reply.close_) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
          .socket()
          .shutdown();
      return;
    }
    Send(response, reply);
  }

  void Send(HTTPServerResponse& response, const UpstreamReply& reply) {
    response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status_));
    response.setContentType("application/json");
    response.set("X-Process-Id", model_.ProcessId());
    response.set("X-Load", std::to_string(model_.Running()));
    response.set("X-Offers", model_.Offers());
    const int cold_limit = model_.AnnouncedColdLimit();
    if (cold_limit > 0) {
      response.set("X-Cold", std::to_string(cold_limit));
    }
    if (reply.not_run_) {
      response.set("X-Not-Run", "1");
    }
    if (reply.snapshot_) {
      response.set("X-Index-Version",
                   std::to_string(reply.snapshot_->index_version_));
      response.set("X-Partition-Map",
                   std::to_string(reply.snapshot_->partition_map_));
      response.set("X-Range", Format(reply.range_));
    }
    response.sendBuffer(reply.body_.data(), reply.body_.size());
  }

  UpstreamModel& model_;
};

class UpstreamHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit UpstreamHandlerFactory(UpstreamModel& model) : model_(model) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    static_cast<void>(request);
    return new UpstreamHandler(model_);
  }

 private:
  UpstreamModel& model_;
};

// Registers the connection with the model and simulates the cost of
// establishing it.
class CountedConnection : public Poco::Net::HTTPServerConnection {
 public:
  CountedConnection(const Poco::Net::StreamSocket& socket,
                    Poco::Net::HTTPServerParams::Ptr params,
                    Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                    UpstreamModel& model,
                    int connect_ms)
      : HTTPServerConnection(socket, std::move(params), std::move(factory)),
        model_(model),
        peer_(socket.peerAddress().toString()),
        connect_ms_(connect_ms) {
    model_.AddPeer(peer_);
  }
  ~CountedConnection() override { model_.RemovePeer(peer_); }

  void run() override {
    std::this_thread::sleep_for(std::chrono::milliseconds(connect_ms_));
    HTTPServerConnection::run();
  }

 private:
  UpstreamModel& model_;
  const std::string peer_;
  const int connect_ms_;
};

class CountedConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
 public:
  CountedConnectionFactory(UpstreamModel& model,
                           Poco::Net::HTTPServerParams::Ptr params,
                           int connect_ms)
      : model_(model),
        params_(std::move(params)),
        handlers_(new UpstreamHandlerFactory(model)),
        connect_ms_(connect_ms) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new CountedConnection(socket, params_, handlers_, model_,
                                 connect_ms_);
  }

 private:
  UpstreamModel& model_;
  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::Net::HTTPRequestHandlerFactory::Ptr handlers_;
  int connect_ms_;
};

}  // namespace

UpstreamServer::UpstreamServer(const UpstreamOptions& options)
    : model_(options), threads_(2, options.connections_ + kSpareThreads) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", options.port_),
              /*reuseAddress=*/true);
  socket.listen();
  port_ = socket.address().port();
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(options.connections_ + kSpareThreads);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  params->setMaxKeepAliveRequests(0);
  server_ = std::make_unique<Poco::Net::TCPServer>(
      new CountedConnectionFactory(model_, params, options.connect_ms_),
      threads_, socket, params);
  server_->start();
}

UpstreamServer::~UpstreamServer() {
  server_->stop();
}

}  // namespace clementinerill

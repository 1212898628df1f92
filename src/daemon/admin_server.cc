#include "daemon/admin_server.h"

#include <utility>

#include <Poco/Exception.h>
#include <Poco/URI.h>

namespace clementinerill {
namespace {

constexpr int kThreads = 8;
constexpr int kMaxWaiting = 64;
constexpr auto kIdleTime = std::chrono::seconds(10);
constexpr uint64_t kMaxBodyBytes = uint64_t{64} << 10;
// Bytes of requests, and of responses that operators have not read.
constexpr uint64_t kMemoryBytes = uint64_t{8} << 20;
// Part of the descriptors for operators.
constexpr size_t kDescriptorPart = 16;

std::string ReadToken(const http::HttpRequest& request) {
  const std::string prefix = "Bearer ";
  const std::string header(http::FindHeader(request.headers_, "Authorization"));
  return header.compare(0, prefix.size(), prefix) == 0
             ? header.substr(prefix.size())
             : std::string();
}

http::HttpResponse RefusalResponse(http::RequestError error) {
  return {http::StatusOf(error),
          {{"Content-Type", "application/json"}},
          R"({"error": "the request was refused"})",
          true};
}

BlockingServerOptions ServerOptions(std::string address, uint16_t port) {
  BlockingServerOptions options;
  options.address_ = std::move(address);
  options.port_ = port;
  options.threads_ = kThreads;
  options.max_waiting_ = kMaxWaiting;
  options.limits_.max_body_bytes_ = kMaxBodyBytes;
  options.limits_.idle_timeout_ = kIdleTime;
  options.memory_bytes_ = kMemoryBytes;
  options.max_connections_ = ShareOfDescriptors(kDescriptorPart);
  return options;
}

}  // namespace

AdminServer::AdminServer(std::string address, uint16_t port, Handler handler)
    : handler_(std::move(handler)),
      server_(ServerOptions(std::move(address), port),
              {[this](const http::HttpRequest& request,
                      const std::function<bool()>& /*gone*/) {
                 return Handle(request);
               },
               RefusalResponse}) {}

AdminServer::~AdminServer() {
  Stop();
}

Result<uint16_t> AdminServer::Start() {
  return server_.Start();
}

void AdminServer::Stop() {
  server_.Stop(Duration::zero());
}

http::HttpResponse AdminServer::Handle(const http::HttpRequest& request) const {
  AdminRequest admin;
  try {
    const Poco::URI uri(request.target_);
    admin.path_ = uri.getPath();
    admin.query_ = uri.getQuery();
  } catch (const Poco::Exception&) {
    return RefusalResponse(http::RequestError::kMalformed);
  }
  admin.method_ = request.method_;
  admin.token_ = ReadToken(request);
  admin.body_ = request.body_;
  AdminReply reply = handler_(admin);
  return {reply.status_,
          {{"Content-Type", reply.content_type_}},
          std::move(reply.body_),
          true};
}

}  // namespace clementinerill

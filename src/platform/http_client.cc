#include "platform/http_client.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

namespace clementinerill {
namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

uint64_t ParseETagVersion(std::string text) {
  text.erase(std::remove(text.begin(), text.end(), '"'), text.end());
  if (text.empty() || text.find_first_not_of("0123456789") != text.npos) {
    return 0;
  }
  return std::strtoull(text.c_str(), nullptr, 10);
}

HTTPRequest MakeRequest(const HttpCall& call, const std::string& token) {
  HTTPRequest request(call.method_, call.path_, HTTPRequest::HTTP_1_1);
  request.setKeepAlive(false);
  if (!token.empty()) {
    request.set("Authorization", "Bearer " + token);
  }
  if (!call.condition_header_.empty()) {
    request.set(call.condition_header_, call.condition_value_);
  }
  if (call.method_ != HTTPRequest::HTTP_GET) {
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(call.body_.size()));
  }
  return request;
}

}  // namespace

HttpClient::HttpClient(std::string address, uint16_t port, std::string token)
    : address_(std::move(address)), port_(port), token_(std::move(token)) {}

HttpExchange HttpClient::Run(const HttpCall& call) {
  HttpExchange exchange;
  Session session(address_, port_);
  const Poco::Timespan timeout(call.timeout_.count() * 1000);
  session.setTimeout(timeout, timeout, timeout);
  try {
    Exchange(session, call, exchange);
  } catch (const Poco::Exception& error) {
    exchange.reason_ = error.displayText();
  } catch (const std::exception& error) {
    exchange.reason_ = error.what();
  }
  RemovePending(session);
  return exchange;
}

void HttpClient::Exchange(Session& session,
                          const HttpCall& call,
                          HttpExchange& exchange) {
  HTTPRequest request = MakeRequest(call, token_);
  // Connects and sends the request headers. If this throws, the request was
  // not served.
  std::ostream& request_body = session.sendRequest(request);
  exchange.outcome_ = HttpExchangeOutcome::kLost;
  if (!AddPending(session)) {
    exchange.reason_ = "the platform client was stopped";
    return;
  }
  request_body << call.body_ << std::flush;
  HTTPResponse response;
  std::istream& response_body = session.receiveResponse(response);
  Poco::StreamCopier::copyToString(response_body, exchange.body_);
  const auto length = response.getContentLength();
  if (length != HTTPResponse::UNKNOWN_CONTENT_LENGTH &&
      exchange.body_.size() != static_cast<size_t>(length)) {
    exchange.reason_ = "the response body is shorter than its Content-Length";
    return;
  }
  exchange.status_ = response.getStatus();
  exchange.version_ = ParseETagVersion(response.get("ETag", ""));
  exchange.outcome_ = HttpExchangeOutcome::kResponse;
}

bool HttpClient::AddPending(Session& session) {
  const std::lock_guard lock(mutex_);
  if (stopped_) {
    return false;
  }
  const int duplicate = dup(session.socket().impl()->sockfd());
  if (duplicate >= 0) {
    pending_.emplace(&session, duplicate);
  }
  return true;
}

void HttpClient::RemovePending(Session& session) {
  const std::lock_guard lock(mutex_);
  const auto found = pending_.find(&session);
  if (found != pending_.end()) {
    close(found->second);
    pending_.erase(found);
  }
}

void HttpClient::Stop() noexcept {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  for (const auto& [session, duplicate] : pending_) {
    shutdown(duplicate, SHUT_RDWR);
  }
}

}  // namespace clementinerill

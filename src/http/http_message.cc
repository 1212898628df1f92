#include "http/http_message.h"

#include <algorithm>
#include <array>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/http/status.hpp>

namespace clementinerill::http {
namespace {

constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection", "keep-alive",         "proxy-connection", "te",
    "trailer",    "transfer-encoding",  "upgrade",          "content-length",
    "expect",     "proxy-authorization"};

// Whether the comma-separated `list` contains `name`, ignoring case.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    std::string token(list.substr(0, comma));
    boost::algorithm::trim(token);
    if (IsSameHeaderName(token, name)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
      [name](std::string_view other) { return IsSameHeaderName(name, other); });
}

void AppendHeaders(std::string& bytes, const Headers& headers) {
  for (const auto& [name, value] : headers) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  }
}

void AppendContentLength(std::string& bytes, size_t length) {
  bytes.append("Content-Length: ").append(std::to_string(length));
  bytes.append("\r\n");
}

bool AllowsBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

bool ExpectsBody(const std::string& method) {
  return method != "GET" && method != "HEAD" && method != "DELETE" &&
         method != "OPTIONS" && method != "TRACE";
}

}  // namespace

bool IsSameHeaderName(std::string_view a, std::string_view b) noexcept {
  return a.size() == b.size() && boost::algorithm::iequals(a, b);
}

std::string_view FindHeader(const Headers& headers,
                            std::string_view name) noexcept {
  for (const auto& [key, value] : headers) {
    if (IsSameHeaderName(key, name)) {
      return value;
    }
  }
  return {};
}

Headers EndToEndHeaders(const Headers& headers) {
  const std::string_view connection = FindHeader(headers, "Connection");
  Headers kept;
  kept.reserve(headers.size());
  for (const auto& header : headers) {
    if (!IsHopByHop(header.first) && !ListContains(connection, header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::string ToBytes(const HttpRequest& request) {
  std::string bytes;
  bytes.reserve(256 + request.body_.size());
  bytes.append(request.method_).append(" ").append(request.target_);
  bytes.append(" HTTP/1.1\r\n");
  AppendHeaders(bytes, request.headers_);
  if (!request.body_.empty() || ExpectsBody(request.method_)) {
    AppendContentLength(bytes, request.body_.size());
  }
  bytes.append("\r\n").append(request.body_);
  return bytes;
}

std::string ToBytes(const HttpResponse& response, bool close, bool is_head) {
  std::string bytes;
  bytes.reserve(256 + response.body_.size());
  bytes.append("HTTP/1.1 ").append(std::to_string(response.status_));
  bytes.append(" ").append(ReasonPhrase(response.status_)).append("\r\n");
  AppendHeaders(bytes, response.headers_);
  if (AllowsBody(response.status_)) {
    AppendContentLength(bytes, response.body_.size());
  }
  if (close) {
    bytes.append("Connection: close\r\n");
  }
  bytes.append("\r\n");
  if (AllowsBody(response.status_) && !is_head) {
    bytes.append(response.body_);
  }
  return bytes;
}

std::string_view ReasonPhrase(int status) {
  const auto phrase = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  return {phrase.data(), phrase.size()};
}

}  // namespace clementinerill::http

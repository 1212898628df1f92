#include "settings/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

namespace clementinerill {
namespace {

// inet_pton and inet_ntop only convert text; nothing here opens a socket.
// Writing the address back gives one spelling of each IPv6 number.
std::optional<std::string> NormalAddress(int family, const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(family, text.c_str(), bytes.data()) != 1) {
    return std::nullopt;
  }
  std::array<char, INET6_ADDRSTRLEN> normal{};
  if (inet_ntop(family, bytes.data(), normal.data(), normal.size()) ==
      nullptr) {
    return std::nullopt;
  }
  return std::string(normal.data());
}

std::optional<uint16_t> ParsePort(const std::string& text,
                                  ListenPortPolicy ports) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || rest != end ||
      (port == 0 && ports == ListenPortPolicy::kFixed)) {
    return std::nullopt;
  }
  return port;
}

std::optional<std::string> ParseAddress(const std::string& text) {
  if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
    return NormalAddress(AF_INET6, text.substr(1, text.size() - 2));
  }
  return NormalAddress(AF_INET, text);
}

}  // namespace

bool operator==(const Endpoint& a, const Endpoint& b) noexcept {
  return a.port_ == b.port_ && a.address_ == b.address_;
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  return ParseListenEndpoint(text, ListenPortPolicy::kFixed);
}

Result<Endpoint> ParseListenEndpoint(const std::string& text,
                                     ListenPortPolicy ports) {
  const size_t colon = text.rfind(':');
  if (colon != std::string::npos && text.find('\0') == std::string::npos) {
    const auto address = ParseAddress(text.substr(0, colon));
    const auto port = ParsePort(text.substr(colon + 1), ports);
    if (address && port) {
      return Endpoint{*address, *port};
    }
  }
  const std::string least = ports == ListenPortPolicy::kFixed ? "1" : "0";
  return Fail("must be an IP number and a port from " + least +
              " to 65535, such as 10.0.0.1:8080 or [fd00::1]:8080");
}

std::string ToText(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.address_.find(':') != std::string::npos;
  const std::string address =
      is_ipv6 ? "[" + endpoint.address_ + "]" : endpoint.address_;
  return address + ":" + std::to_string(endpoint.port_);
}

bool IsWildcard(const Endpoint& endpoint) noexcept {
  return endpoint.address_ == "0.0.0.0" || endpoint.address_ == "::";
}

bool ListenersConflict(const Endpoint& a, const Endpoint& b) noexcept {
  return a.port_ == b.port_ &&
         (a.address_ == b.address_ || IsWildcard(a) || IsWildcard(b));
}

}  // namespace clementinerill

#include "settings/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <optional>

namespace clementinerill {
namespace {

// inet_pton and inet_ntop only convert between text and bytes; no socket is
// opened. The round trip gives the canonical spelling of an IPv6 address.
std::optional<std::string> CanonicalAddress(int family,
                                            const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(family, text.c_str(), bytes.data()) != 1) {
    return std::nullopt;
  }
  std::array<char, INET6_ADDRSTRLEN> canonical{};
  if (inet_ntop(family, bytes.data(), canonical.data(), canonical.size()) ==
      nullptr) {
    return std::nullopt;
  }
  return std::string(canonical.data());
}

std::optional<uint16_t> ParsePort(const std::string& text,
                                  ListenPortPolicy port_policy) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || parsed_end != end ||
      (port == 0 && port_policy == ListenPortPolicy::kFixed)) {
    return std::nullopt;
  }
  return port;
}

std::optional<std::string> ParseAddress(const std::string& text) {
  if (text.size() > 2 && text.front() == '[' && text.back() == ']') {
    return CanonicalAddress(AF_INET6, text.substr(1, text.size() - 2));
  }
  return CanonicalAddress(AF_INET, text);
}

}  // namespace

bool operator==(const Endpoint& a, const Endpoint& b) noexcept {
  return a.port_ == b.port_ && a.address_ == b.address_;
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  return ParseListenEndpoint(text, ListenPortPolicy::kFixed);
}

Result<Endpoint> ParseListenEndpoint(const std::string& text,
                                     ListenPortPolicy port_policy) {
  const size_t colon = text.rfind(':');
  if (colon != std::string::npos && text.find('\0') == std::string::npos) {
    const auto address = ParseAddress(text.substr(0, colon));
    const auto port = ParsePort(text.substr(colon + 1), port_policy);
    if (address && port) {
      return Endpoint{*address, *port};
    }
  }
  const std::string min_port =
      port_policy == ListenPortPolicy::kFixed ? "1" : "0";
  return Fail("must be an IP address and a port from " + min_port +
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

#include "settings/settings_yaml.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include <yaml-cpp/yaml.h>

#include "base/name_table.h"
#include "settings/admin_token.h"
#include "settings/duration_text.h"
#include "settings/single_document.h"
#include "settings/size_text.h"
#include "settings/yaml_reader.h"

namespace clementinerill {
namespace {

constexpr Duration kMaxBalancerDelay = std::chrono::minutes(1);
constexpr int kMaxThreads = 4'096;
constexpr int64_t kMinRequestBytes = 1'024;
constexpr int64_t kMaxRequestBytes = 16 * 1'048'576;
constexpr size_t kMaxNameLength = 63;
constexpr const char* kMaskedToken = "********";

bool IsNameCharacter(char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

Result<std::string> ParseName(const std::string& text) {
  const bool is_valid_length = !text.empty() && text.size() <= kMaxNameLength;
  if (!is_valid_length ||
      !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
    return Fail("must be 1 to 63 letters, digits, '-', '_' or '.'");
  }
  return text;
}

Result<std::string> ParsePath(const std::string& text) {
  if (text.empty()) {
    return Fail("must be the path of a file");
  }
  return text;
}

// Other processes connect to this endpoint, so it needs one concrete address.
Result<Endpoint> RejectWildcard(Result<Endpoint> endpoint) {
  if (endpoint && IsWildcard(*endpoint)) {
    return Fail("must be the IP address of one VM, not a wildcard address");
  }
  return endpoint;
}

Result<Endpoint> ParseRemoteEndpoint(const std::string& text) {
  return RejectWildcard(ParseEndpoint(text));
}

Result<Duration> ParseBalancerDelay(const std::string& text) {
  Result<Duration> delay = ParseDuration(text);
  if (delay && *delay > kMaxBalancerDelay) {
    return Fail("must be a duration from 0s to " +
                FormatDuration(kMaxBalancerDelay));
  }
  return delay;
}

Result<int> ParseThreadCount(const std::string& text) {
  int threads = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, threads);
  if (error != std::errc() || parsed_end != end || threads < 1 ||
      threads > kMaxThreads) {
    return Fail("must be a whole number from 1 to " +
                std::to_string(kMaxThreads));
  }
  return threads;
}

Result<int64_t> ParseRequestBytes(const std::string& text) {
  Result<int64_t> bytes = ParseSize(text);
  if (bytes && (*bytes < kMinRequestBytes || *bytes > kMaxRequestBytes)) {
    return Fail("must be a size from " + FormatSize(kMinRequestBytes) + " to " +
                FormatSize(kMaxRequestBytes));
  }
  return bytes;
}

Result<LogLevel> ParseLogLevel(const std::string& text) {
  const auto level = ValueOf(kLogLevelNames, text);
  if (!level) {
    return Fail("must be debug, info, warning or error");
  }
  return *level;
}

void ReadAdminToken(YamlReader& reader, Settings& settings) {
  const bool has_token = reader.Has("admin_token");
  const bool has_file = reader.Has("admin_token_file");
  if (has_token == has_file) {
    reader.Report("admin_token",
                  has_token ? "and 'admin_token_file' are mutually exclusive"
                            : "or 'admin_token_file' is required");
  }
  if (has_token) {
    settings.admin_token_ =
        reader.Scalar<Secret>("admin_token", ParseAdminToken);
  }
  if (has_file) {
    settings.admin_token_file_ =
        reader.Scalar<std::string>("admin_token_file", ParsePath);
  }
}

std::vector<StaticPeer> ReadPeers(YamlReader& reader,
                                  const std::string& file_name,
                                  std::vector<Error>& errors) {
  std::vector<StaticPeer> peers;
  std::set<std::string> names;
  for (const YAML::Node& item : reader.List("peers")) {
    YamlReader peer_reader(item, file_name, errors);
    if (!item.IsMap()) {
      continue;
    }
    StaticPeer peer;
    peer.name_ = peer_reader.Scalar<std::string>("name", ParseName);
    peer.endpoint_ =
        peer_reader.Scalar<Endpoint>("address", ParseRemoteEndpoint);
    peer_reader.RejectUnknownKeys();
    if (!peer.name_.empty() && !names.insert(peer.name_).second) {
      peer_reader.Report("name", "must differ from the names of other peers");
    }
    peers.push_back(std::move(peer));
  }
  return peers;
}

void CheckListeners(YamlReader& reader, const Settings& settings) {
  const auto conflict = [](const Endpoint& a, const Endpoint& b) {
    return a.port_ != 0 && ListenersConflict(a, b);
  };
  if (conflict(settings.admin_listen_, settings.caller_listen_)) {
    reader.Report("admin_listen", "must differ from 'caller_listen'");
  }
  if (conflict(settings.peer_listen_, settings.caller_listen_)) {
    reader.Report("peer_listen", "must differ from 'caller_listen'");
  }
  if (conflict(settings.peer_listen_, settings.admin_listen_)) {
    reader.Report("peer_listen", "must differ from 'admin_listen'");
  }
}

void ReadListeners(YamlReader& reader,
                   ListenPortPolicy port_policy,
                   Settings& settings) {
  const auto parse = [port_policy](const std::string& text) {
    return ParseListenEndpoint(text, port_policy);
  };
  const auto parse_remote = [port_policy](const std::string& text) {
    return RejectWildcard(ParseListenEndpoint(text, port_policy));
  };
  settings.caller_listen_ = reader.Scalar<Endpoint>("caller_listen", parse);
  settings.admin_listen_ = reader.Scalar<Endpoint>("admin_listen", parse);
  settings.peer_listen_ = reader.Scalar<Endpoint>("peer_listen", parse_remote);
}

Settings ReadSettings(const YAML::Node& document,
                      const std::string& file_name,
                      ListenPortPolicy port_policy,
                      std::vector<Error>& errors) {
  Settings settings;
  YamlReader reader(document, file_name, errors);
  if (!document.IsMap()) {
    return settings;
  }
  settings.name_ = reader.Scalar<std::string>("name", ParseName);
  settings.failure_domain_ =
      reader.Scalar<std::string>("failure_domain", ParseName);
  ReadListeners(reader, port_policy, settings);
  settings.platform_ = reader.Scalar<Endpoint>("platform", ParseRemoteEndpoint);
  ReadAdminToken(reader, settings);
  settings.peers_ = ReadPeers(reader, file_name, errors);
  settings.balancer_delay_ = reader.Scalar<Duration>(
      "balancer_delay", ParseBalancerDelay, settings.balancer_delay_);
  settings.exchange_threads_ = reader.Scalar<int>(
      "exchange_threads", ParseThreadCount, settings.exchange_threads_);
  settings.caller_threads_ = reader.Scalar<int>(
      "caller_threads", ParseThreadCount, settings.caller_threads_);
  settings.max_request_bytes_ = reader.Scalar<int64_t>(
      "max_request_bytes", ParseRequestBytes, settings.max_request_bytes_);
  settings.log_level_ =
      reader.Scalar<LogLevel>("log_level", ParseLogLevel, settings.log_level_);
  reader.RejectUnknownKeys();
  CheckListeners(reader, settings);
  return settings;
}

// Cuts the message of yaml-cpp at the first colon: what follows may be a name
// from the document and hold a part of a secret.
Error SyntaxError(const YAML::ParserException& exception,
                  const std::string& file_name) {
  const std::string reason = exception.msg.substr(0, exception.msg.find(':'));
  return Error{"must be valid YAML: " + reason,
               {file_name, exception.mark.line + 1, exception.mark.column + 1}};
}

bool IsBefore(const Error& a, const Error& b) noexcept {
  return std::tie(a.position_.line_, a.position_.column_) <
         std::tie(b.position_.line_, b.position_.column_);
}

}  // namespace

tl::expected<Settings, std::vector<Error>> ParseSettings(
    const std::string& text,
    const std::string& file_name,
    ListenPortPolicy port_policy) {
  std::vector<Error> errors;
  Settings settings;
  try {
    const std::optional<YAML::Node> document = LoadSingleDocument(text);
    if (document) {
      settings = ReadSettings(*document, file_name, port_policy, errors);
    } else {
      errors.push_back(Error{"must be one YAML document", {file_name, 1, 1}});
    }
  } catch (const YAML::ParserException& exception) {
    errors.push_back(SyntaxError(exception, file_name));
  }
  if (!errors.empty()) {
    std::stable_sort(errors.begin(), errors.end(), IsBefore);
    return tl::make_unexpected(std::move(errors));
  }
  return settings;
}

std::string ToYamlText(const Settings& settings) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "name" << YAML::Value << settings.name_;
  out << YAML::Key << "failure_domain" << YAML::Value
      << settings.failure_domain_;
  out << YAML::Key << "caller_listen" << YAML::Value
      << ToText(settings.caller_listen_);
  out << YAML::Key << "admin_listen" << YAML::Value
      << ToText(settings.admin_listen_);
  out << YAML::Key << "peer_listen" << YAML::Value
      << ToText(settings.peer_listen_);
  out << YAML::Key << "platform" << YAML::Value << ToText(settings.platform_);
  if (settings.admin_token_.IsSet()) {
    out << YAML::Key << "admin_token" << YAML::Value << kMaskedToken;
  }
  if (!settings.admin_token_file_.empty()) {
    out << YAML::Key << "admin_token_file" << YAML::Value
        << settings.admin_token_file_;
  }
  out << YAML::Key << "peers" << YAML::Value << YAML::BeginSeq;
  for (const StaticPeer& peer : settings.peers_) {
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << peer.name_;
    out << YAML::Key << "address" << YAML::Value << ToText(peer.endpoint_);
    out << YAML::EndMap;
  }
  out << YAML::EndSeq;
  out << YAML::Key << "balancer_delay" << YAML::Value
      << FormatDuration(settings.balancer_delay_);
  out << YAML::Key << "exchange_threads" << YAML::Value
      << settings.exchange_threads_;
  out << YAML::Key << "caller_threads" << YAML::Value
      << settings.caller_threads_;
  out << YAML::Key << "max_request_bytes" << YAML::Value
      << FormatSize(settings.max_request_bytes_);
  out << YAML::Key << "log_level" << YAML::Value
      << std::string(NameOf(kLogLevelNames, settings.log_level_));
  out << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

std::string ExampleSettingsText() {
  return R"(name: entry-1
failure_domain: fd-1
caller_listen: 10.0.0.11:8080
admin_listen: 127.0.0.1:8081
peer_listen: 10.0.0.11:8082
platform: 10.0.0.2:7000
# Alternatively admin_token with the token itself.
admin_token_file: /etc/clementinerill/admin_token
# Used at start-up while the platform is unavailable; may list this daemon.
peers:
  - name: entry-2
    address: 10.0.1.11:8082
  - name: entry-3
    address: 10.0.2.11:8082
# The remaining keys are optional; these are their defaults.
balancer_delay: 3s
exchange_threads: 256
caller_threads: 64
max_request_bytes: 64KiB
log_level: info
)";
}

}  // namespace clementinerill

#include "cli/load_settings.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "settings/admin_token.h"
#include "settings/settings_yaml.h"

namespace clementinerill {
namespace {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  // Opening a directory succeeds; the first read fails.
  if (!file.is_open() || file.bad()) {
    return tl::make_unexpected(Error{"must be a readable file", {path, 0, 0}});
  }
  return text;
}

}  // namespace

tl::expected<Settings, std::vector<Error>> LoadSettings(
    const std::string& path,
    ListenPortPolicy policy) {
  const auto text = ReadFile(path);
  if (!text) {
    return tl::make_unexpected(std::vector<Error>{text.error()});
  }
  return ParseSettings(*text, path, policy);
}

Result<Secret> LoadAdminToken(const Settings& settings) {
  if (settings.admin_token_.IsSet()) {
    return settings.admin_token_;
  }
  const auto text = ReadFile(settings.admin_token_file_);
  if (!text) {
    return tl::make_unexpected(text.error());
  }
  auto token = ParseAdminTokenFile(*text);
  if (!token) {
    token.error().position_.path_ = settings.admin_token_file_;
  }
  return token;
}

void PrintErrors(const std::vector<Error>& errors) {
  for (const Error& error : errors) {
    std::cerr << Format(error) << "\n";
  }
}

}  // namespace clementinerill

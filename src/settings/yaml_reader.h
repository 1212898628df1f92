#ifndef CLEMENTINERILL_SETTINGS_YAML_READER_H_
#define CLEMENTINERILL_SETTINGS_YAML_READER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "base/error.h"
#include "base/result.h"

namespace clementinerill {

/// @brief Reads typed members of one YAML mapping and collects all errors.
///
/// A missing or invalid member is reported with file, line, column and the
/// expected value, and its default is returned, so that one pass finds every
/// error. Errors do not contain values of the document, because a value may be
/// a secret.
class YamlReader {
 public:
  YamlReader(const YAML::Node& mapping,
             std::string file_name,
             std::vector<Error>& errors);

  /// @brief Reads a scalar with `parse`, whose error states the expected value.
  ///
  /// Returns `fallback` for a missing member; without a `fallback` a missing
  /// member is an error.
  template <typename T>
  [[nodiscard]] T Scalar(
      const std::string& key,
      const std::function<Result<T>(const std::string&)>& parse,
      const std::optional<T>& fallback = std::nullopt) {
    const std::optional<std::string> text =
        ScalarText(key, fallback.has_value());
    if (!text) {
      return fallback.value_or(T{});
    }
    Result<T> value = parse(*text);
    if (!value) {
      Report(key, value.error().description_);
      return fallback.value_or(T{});
    }
    return *value;
  }

  /// @brief The elements of a list; empty when the member is missing.
  [[nodiscard]] std::vector<YAML::Node> List(const std::string& key);

  /// @brief Whether the mapping has the member; adds `key` to the known keys.
  [[nodiscard]] bool Has(const std::string& key);

  /// @brief Adds an error at the position of the value of `key`, or of the
  /// mapping when the member is missing.
  void Report(const std::string& key, const std::string& description);

  /// @brief Reports each member whose key no earlier call has requested, and
  /// suggests the nearest of the requested keys.
  void RejectUnknownKeys();

 private:
  /// @brief The text of a scalar. Returns nullopt and reports an error when the
  /// member is missing and not `optional`, or is not a scalar.
  [[nodiscard]] std::optional<std::string> ScalarText(const std::string& key,
                                                      bool optional);
  void ReportAt(const YAML::Mark& mark, std::string description);

  YAML::Mark mark_;
  std::string file_name_;
  std::vector<Error>& errors_;
  std::map<std::string, YAML::Node> values_;
  std::map<std::string, YAML::Mark> key_marks_;
  std::set<std::string> known_keys_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_YAML_READER_H_

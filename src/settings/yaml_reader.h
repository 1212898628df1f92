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

/// @brief Reads typed members of one YAML map and collects all errors.
///
/// A member that is missing or wrong is reported with file, line, column and
/// the expected value, and read as its default, so that one pass finds every
/// error. No error repeats a value of the document, because a value may be a
/// secret.
class YamlReader {
 public:
  YamlReader(const YAML::Node& map,
             std::string file_name,
             std::vector<Error>& errors);

  /// @brief Reads a scalar with `parse`, whose error says what it must be.
  ///
  /// A missing member is read as `fallback`; without one it is an error.
  template <typename T>
  [[nodiscard]] T Scalar(
      const std::string& key,
      const std::function<Result<T>(const std::string&)>& parse,
      const std::optional<T>& fallback = std::nullopt) {
    const std::optional<std::string> text = Text(key, fallback.has_value());
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

  /// @brief The elements of a list, empty when missing.
  [[nodiscard]] std::vector<YAML::Node> List(const std::string& key);

  /// @brief Whether the map has the member; marks the key as known.
  [[nodiscard]] bool Has(const std::string& key);

  /// @brief Adds an error at the value of `key`, or at the map without it.
  void Report(const std::string& key, const std::string& description);

  /// @brief Reports each member that no call has asked for, with the nearest
  /// key that a call has asked for.
  void RejectUnknownKeys();

 private:
  /// @brief The text of a scalar; a missing or empty member gives nothing, and
  /// an error unless it is missing and `optional`.
  [[nodiscard]] std::optional<std::string> Text(const std::string& key,
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

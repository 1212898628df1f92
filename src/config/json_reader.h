#ifndef CLEMENTINERILL_CONFIG_JSON_READER_H_
#define CLEMENTINERILL_CONFIG_JSON_READER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/name_table.h"
#include "config/labels.h"

namespace clementinerill {

/// @brief Reads typed members of one JSON object and collects all errors.
///
/// A required member that is missing and a member of the wrong type are
/// reported with their JSON pointer and read as a default, so that one pass
/// finds every error.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& object,
             std::string pointer,
             std::vector<Error>& errors);

  /// @brief A required, non-empty string.
  [[nodiscard]] std::string String(const std::string& key);

  /// @brief A string, empty when missing.
  [[nodiscard]] std::string OptionalString(const std::string& key);

  /// @brief An integer from `min` to `max`. The member is optional if
  /// `fallback` is in that range and required otherwise.
  [[nodiscard]] int Integer(const std::string& key,
                            int fallback,
                            int min,
                            int max);

  /// @brief A non-negative integer.
  [[nodiscard]] uint64_t Unsigned(const std::string& key, uint64_t fallback);

  [[nodiscard]] bool Boolean(const std::string& key, bool fallback);

  /// @brief An object of strings, empty when missing.
  [[nodiscard]] Labels StringMap(const std::string& key);

  /// @brief A required string that must be one of the names in `table`.
  template <typename Enum, size_t N>
  [[nodiscard]] Enum EnumValue(const std::string& key,
                               const std::array<NameEntry<Enum>, N>& table,
                               Enum fallback) {
    const std::string name = String(key);
    const auto value = ValueOf(table, name);
    if (!value && !name.empty()) {
      std::string known;
      for (const auto& entry : table) {
        known += (known.empty() ? "" : ", ") + std::string(entry.name_);
      }
      Report(key, "'" + name + "' is not one of: " + known);
    }
    return value.value_or(fallback);
  }

  /// @brief An array of objects, empty when missing.
  template <typename T>
  [[nodiscard]] std::vector<T> List(const std::string& key,
                                    const std::function<T(JsonReader&)>& read) {
    std::vector<T> items;
    const nlohmann::json* array = Array(key);
    if (array == nullptr) {
      return items;
    }
    for (size_t i = 0; i < array->size(); ++i) {
      const std::string pointer =
          pointer_ + "/" + key + "/" + std::to_string(i);
      JsonReader reader((*array)[i], pointer, errors_);
      items.push_back(read(reader));
      reader.RejectUnknownKeys();
    }
    return items;
  }

  /// @brief Reports each member that none of the read functions was called for.
  void RejectUnknownKeys();

 private:
  [[nodiscard]] const nlohmann::json* Find(const std::string& key);
  [[nodiscard]] const nlohmann::json* Array(const std::string& key);
  void Report(const std::string& key, std::string description);

  const nlohmann::json& object_;
  std::string pointer_;
  std::vector<Error>& errors_;
  std::set<std::string> known_keys_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_JSON_READER_H_

#ifndef CLEMENTINERILL_PEER_FIELD_READER_H_
#define CLEMENTINERILL_PEER_FIELD_READER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "membership/advisory.h"
#include "peer/report_entry.h"

namespace clementinerill {

/// @brief Field visitor that reads the fields of a message from its body array.
///
/// Reading stops at the first error; later fields keep their values.
class FieldReader {
 public:
  explicit FieldReader(const nlohmann::json& body) : body_(body) {}

  template <typename T>
  void operator()(const char* name, T& value) {
    const nlohmann::json* field = NextField(name);
    if (field != nullptr) {
      Read(name, *field, value);
    }
  }

  /// Returns the first error, or an empty string. Unread fields are an error.
  [[nodiscard]] std::string Finish();

 private:
  [[nodiscard]] const nlohmann::json* NextField(const char* name);
  void SetError(const char* name, const char* expected);

  void Read(const char* name, const nlohmann::json& field, std::string& value);
  void Read(const char* name, const nlohmann::json& field, bool& value);
  void Read(const char* name, const nlohmann::json& field, AdvisoryKind& value);

  template <typename T>
  std::enable_if_t<std::is_unsigned_v<T>> Read(const char* name,
                                               const nlohmann::json& field,
                                               T& value) {
    const bool fits = field.is_number_unsigned() &&
                      field.get<uint64_t>() <= std::numeric_limits<T>::max();
    if (!fits) {
      SetError(name, "an unsigned number in range");
      return;
    }
    value = field.get<T>();
  }

  template <typename T>
  void Read(const char* name,
            const nlohmann::json& field,
            std::vector<T>& values) {
    if (!field.is_array()) {
      SetError(name, "an array");
      return;
    }
    values.reserve(field.size());
    for (const nlohmann::json& item : field) {
      T value{};
      ReadItem(name, item, value);
      values.push_back(std::move(value));
    }
  }

  void ReadItem(const char* name, const nlohmann::json& item, uint64_t& value) {
    Read(name, item, value);
  }
  void ReadItem(const char* name, const nlohmann::json& item, Advisory& value);
  void ReadItem(const char* name,
                const nlohmann::json& item,
                ReportEntry& value);

  template <typename T>
  void ReadStruct(const char* name, const nlohmann::json& item, T& value);

  const nlohmann::json& body_;
  size_t next_index_ = 0;
  std::string error_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FIELD_READER_H_
